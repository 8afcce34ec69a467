#include "telemetry/metrics.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <boost/histogram.hpp>
#include <limits>
#include <utility>
#include <vector>

namespace bamboomount {
namespace {

namespace histogram = boost::histogram;

// Histogram buckets range from 100 us to 100 s, three per factor of ten.
constexpr double kSmallestBucketSeconds = 1e-4;
constexpr double kLargestBucketSeconds = 1e2;
constexpr unsigned kBucketCount = 18;

using LogAxis =
    histogram::axis::regular<double, histogram::axis::transform::log>;
using DurationHistogram =
    decltype(histogram::make_histogram(std::declval<LogAxis>()));

struct Series {
  std::string name;
  MetricLabels labels;
  friend auto operator<=>(const Series&, const Series&) = default;
};

struct Durations {
  DurationHistogram buckets = histogram::make_histogram(
      LogAxis(kBucketCount, kSmallestBucketSeconds, kLargestBucketSeconds));
  double sum_seconds = 0;
};

prometheus::ClientMetric MakeMetric(const MetricLabels& labels) {
  prometheus::ClientMetric metric;
  for (const auto& [name, value] : labels)
    metric.label.push_back({name, value});
  return metric;
}

prometheus::ClientMetric::Histogram ToPrometheus(const Durations& durations) {
  prometheus::ClientMetric::Histogram exported;
  double cumulative = 0;
  for (auto&& bin :
       histogram::indexed(durations.buckets, histogram::coverage::all)) {
    cumulative += *bin;
    exported.bucket.push_back(
        {static_cast<std::uint64_t>(cumulative), bin.bin().upper()});
  }
  exported.sample_count = static_cast<std::uint64_t>(cumulative);
  exported.sample_sum = durations.sum_seconds;
  return exported;
}

using Families = std::map<std::string, prometheus::MetricFamily>;

prometheus::MetricFamily& FamilyOf(Families& families,
                                   const std::string& name,
                                   prometheus::MetricType type) {
  prometheus::MetricFamily& family = families[name];
  family.name = name;
  family.type = type;
  return family;
}

}  // namespace

class Metrics::Shard {
 public:
  void Increment(Series series, double amount) {
    const std::lock_guard lock(mutex_);
    counters_[std::move(series)] += amount;
  }

  void SetGauge(Series series, double value) {
    const std::lock_guard lock(mutex_);
    gauges_[std::move(series)] = value;
  }

  void Observe(Series series, double seconds) {
    const std::lock_guard lock(mutex_);
    Durations& durations = durations_[std::move(series)];
    durations.buckets(seconds);
    durations.sum_seconds += seconds;
  }

  void Collect(Families& families) const {
    const std::lock_guard lock(mutex_);
    for (const auto& [series, value] : counters_) {
      auto metric = MakeMetric(series.labels);
      metric.counter.value = value;
      FamilyOf(families, series.name, prometheus::MetricType::Counter)
          .metric.push_back(std::move(metric));
    }
    for (const auto& [series, value] : gauges_) {
      auto metric = MakeMetric(series.labels);
      metric.gauge.value = value;
      FamilyOf(families, series.name, prometheus::MetricType::Gauge)
          .metric.push_back(std::move(metric));
    }
    for (const auto& [series, durations] : durations_) {
      auto metric = MakeMetric(series.labels);
      metric.histogram = ToPrometheus(durations);
      FamilyOf(families, series.name, prometheus::MetricType::Histogram)
          .metric.push_back(std::move(metric));
    }
  }

 private:
  mutable std::mutex mutex_;
  std::map<Series, double> counters_;
  std::map<Series, double> gauges_;
  std::map<Series, Durations> durations_;
};

Metrics::Metrics() {
  for (auto& shard : shards_)
    shard = std::make_unique<Shard>();
}

Metrics::~Metrics() = default;

void Metrics::Increment(const std::string& name,
                        const MetricLabels& labels,
                        double amount) {
  ShardFor(name, labels).Increment({name, labels}, amount);
}

void Metrics::SetGauge(const std::string& name,
                       const MetricLabels& labels,
                       double value) {
  ShardFor(name, labels).SetGauge({name, labels}, value);
}

void Metrics::Observe(const std::string& name,
                      const MetricLabels& labels,
                      std::chrono::nanoseconds duration) {
  ShardFor(name, labels)
      .Observe({name, labels}, std::chrono::duration<double>(duration).count());
}

std::string Metrics::ToPrometheusText() const {
  Families families;
  for (const auto& shard : shards_)
    shard->Collect(families);
  std::vector<prometheus::MetricFamily> ordered;
  for (auto& [name, family] : families)
    ordered.push_back(std::move(family));
  return prometheus::TextSerializer().Serialize(ordered);
}

Metrics::Shard& Metrics::ShardFor(const std::string& name,
                                  const MetricLabels& labels) const {
  std::size_t hash = std::hash<std::string>{}(name);
  for (const auto& [label, value] : labels)
    hash = hash * 31 + std::hash<std::string>{}(value);
  return *shards_[hash % kShardCount];
}

}  // namespace bamboomount
