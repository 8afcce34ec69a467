#ifndef TELEMETRY_METRICS_H_
#define TELEMETRY_METRICS_H_

#include <array>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace bamboomount {

using MetricLabels = std::map<std::string, std::string>;

// Counters, gauges and duration histograms by name and labels, exported as
// Prometheus text. Sharded by name and label values, with one lock per shard.
// Thread-safe.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  void Increment(const std::string& name,
                 const MetricLabels& labels = {},
                 double amount = 1);
  void SetGauge(const std::string& name,
                const MetricLabels& labels,
                double value);
  // Adds a duration to the histogram `name`; exported in seconds.
  void Observe(const std::string& name,
               const MetricLabels& labels,
               std::chrono::nanoseconds duration);

  // Returns all metrics in the Prometheus text exposition format.
  std::string ToPrometheusText() const;

 private:
  static constexpr std::size_t kShardCount = 16;
  class Shard;

  Shard& ShardFor(const std::string& name, const MetricLabels& labels) const;

  std::array<std::unique_ptr<Shard>, kShardCount> shards_;
};

}  // namespace bamboomount

#endif  // TELEMETRY_METRICS_H_
