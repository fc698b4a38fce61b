#include "pinford/metrics.h"

#include <fmt/format.h>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <boost/histogram.hpp>

namespace pinford {

namespace acc = boost::accumulators;
namespace bh = boost::histogram;

// Upper bounds of the buckets, in seconds: fine for the times that tokens,
// pauses and first events should take, coarse for those that are late in any
// case.
static constexpr double kBucketBounds[] = {
    0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.25, 0.35, 0.5,
    0.75,  1,    1.5,  2,    3,   5,    10,  20,   60};

class Distribution {
 public:
  void Add(double v) {
    totals_(v);
    buckets_(v);
  }
  // Returns how many values were at most kBucketBounds[i].
  double CountAtMost(size_t i) const {
    // Bucket -1 holds the values below all bounds.
    double n = 0;
    for (int bucket = -1; bucket < static_cast<int>(i); bucket++) {
      n += buckets_.at(bucket);
    }
    return n;
  }
  double sum() const { return acc::sum(totals_); }
  double max() const { return acc::max(totals_); }
  size_t count() const { return acc::count(totals_); }

 private:
  // A value equal to a bound is counted above it. This does not matter for
  // floating-point times, which are not expected to be equal to a bound.
  using Axis = bh::axis::variable<double>;

  acc::accumulator_set<
      double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::max>>
      totals_;
  decltype(bh::make_histogram(
      Axis(std::begin(kBucketBounds), std::end(kBucketBounds)))) buckets_ =
      bh::make_histogram(
          Axis(std::begin(kBucketBounds), std::end(kBucketBounds)));
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::Count(const std::string& name, const std::string& labels,
                    int64_t by) {
  counters_[{name, labels}] += by;
}

void Metrics::Set(const std::string& name, const std::string& labels,
                  double value) {
  gauges_[{name, labels}] = value;
}

void Metrics::Observe(const std::string& name, const std::string& labels,
                      double value) {
  std::unique_ptr<Distribution>& d = distributions_[{name, labels}];
  if (d == nullptr) d = std::make_unique<Distribution>();
  d->Add(value);
}

int64_t Metrics::counter(const std::string& name,
                         const std::string& labels) const {
  auto it = counters_.find({name, labels});
  return it == counters_.end() ? 0 : it->second;
}

static std::string SampleLine(const std::string& name,
                              const std::string& labels, double value) {
  if (labels.empty()) return fmt::format("pinford_{} {}\n", name, value);
  return fmt::format("pinford_{}{{{}}} {}\n", name, labels, value);
}

// Prometheus requires one TYPE line before all series of a name.
static void AppendTypeLine(const std::string& name, const char* type,
                           std::string* last, std::string* out) {
  if (*last == name) return;
  *last = name;
  *out += fmt::format("# TYPE pinford_{} {}\n", name, type);
}

std::string Metrics::Text() const {
  std::string out;
  std::string last;
  for (const auto& [series, v] : counters_) {
    AppendTypeLine(series.first, "counter", &last, &out);
    out += SampleLine(series.first, series.second, static_cast<double>(v));
  }
  for (const auto& [series, v] : gauges_) {
    AppendTypeLine(series.first, "gauge", &last, &out);
    out += SampleLine(series.first, series.second, v);
  }
  for (const auto& [series, d] : distributions_) {
    const auto& [name, labels] = series;
    AppendTypeLine(name, "histogram", &last, &out);
    const std::string comma = labels.empty() ? "" : ",";
    for (size_t i = 0; i < std::size(kBucketBounds); i++) {
      const std::string le = fmt::format("le=\"{}\"", kBucketBounds[i]);
      out +=
          SampleLine(name + "_bucket", labels + comma + le, d->CountAtMost(i));
    }
    out += SampleLine(name + "_bucket", labels + comma + "le=\"+Inf\"",
                      static_cast<double>(d->count()));
    out += SampleLine(name + "_sum", labels, d->sum());
    out += SampleLine(name + "_count", labels, static_cast<double>(d->count()));
    out += SampleLine(name + "_max", labels, d->max());
  }
  return out;
}

}  // namespace pinford
