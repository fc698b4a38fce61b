// Counters, gauges and distributions of one box, in Prometheus' text form.
//
// Distributions are histograms of fixed buckets (Boost.Histogram), told as
// Prometheus' cumulative ones, so that those of many boxes can be summed and
// quantiles taken of the sum; beside them the sum, the count and the greatest
// value (Boost.Accumulators).

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

  // `labels` is "" or as in Prometheus: outcome="complete".
  void Count(const std::string& name, const std::string& labels = "",
             int64_t by = 1);
  void Set(const std::string& name, const std::string& labels, double value);
  // One observation, in seconds by convention.
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
