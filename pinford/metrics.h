// Counters, gauges and distributions of a box, in the Prometheus text format.
//
// Distributions are histograms with fixed buckets (Boost.Histogram), exported
// as cumulative Prometheus histograms. They can be summed over boxes, and
// quantiles computed from the sum. The sum, count and maximum of each are
// exported too (Boost.Accumulators).

#ifndef PINFORD_METRICS_H_
#define PINFORD_METRICS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace pinford {

class Distribution;

class Metrics {
 public:
  Metrics();
  ~Metrics();

  // Adds to a counter. `labels` is "" or in Prometheus syntax:
  // outcome="complete".
  void Count(const std::string& name, const std::string& labels = "",
             int64_t by = 1);
  void Set(const std::string& name, const std::string& labels, double value);
  // Adds a value to a distribution, in seconds by convention.
  void Observe(const std::string& name, const std::string& labels,
               double value);

  int64_t counter(const std::string& name, const std::string& labels) const;
  std::string Text() const;

 private:
  using Series = std::pair<std::string, std::string>;  // name, labels
  std::map<Series, int64_t> counters_;
  std::map<Series, double> gauges_;
  std::map<Series, std::unique_ptr<Distribution>> distributions_;
};

}  // namespace pinford

#endif  // PINFORD_METRICS_H_
