#include "policy/internal/service_times.h"

#include <algorithm>
#include <limits>

namespace bamboomount {
namespace {

constexpr int kMinSamples = 8;
constexpr double kMinGain = 0.05;

void UpdateMean(double& mean, int& samples, double value) {
  ++samples;
  mean += std::max(kMinGain, 1.0 / samples) * (value - mean);
}

}  // namespace

bool ServiceTimes::ClassStatistics::has_enough_samples() const {
  return samples >= kMinSamples && mean_hold_ms > 0;
}

void ServiceTimes::Start(const ClassId& class_id) {
  ++records_[class_id].running;
}

void ServiceTimes::End(const ClassId& class_id,
                       std::optional<Millis> hold_time) {
  ClassStatistics& record = records_[class_id];
  --record.running;
  if (hold_time) {
    UpdateMean(record.mean_hold_ms, record.samples,
               static_cast<double>(hold_time->count()));
  }
}

void ServiceTimes::ObserveFirstToken(const ClassId& class_id, Millis time) {
  ClassStatistics& record = records_[class_id];
  UpdateMean(record.mean_first_token_ms, record.first_token_samples,
             static_cast<double>(time.count()));
}

std::optional<Millis> ServiceTimes::PredictTimeToFirstToken(
    const WaitingQueue::ClassCount& waiting_class,
    const std::map<WaitingQueue::ClassKey, WaitingQueue::ClassCount>& counts)
    const {
  const auto own = records_.find(waiting_class.class_id);
  if (own == records_.end() || !own->second.has_enough_samples())
    return std::nullopt;
  int running = 0;
  for (const auto& [id, record] : records_)
    running += record.running;
  double ahead = 0;
  for (const auto& [key, count] : counts) {
    if (key.first > waiting_class.tier)
      break;
    ahead += count.waiting;
  }
  const double rate = ReleaseRate();
  if (running == 0 || rate <= 0)
    return std::nullopt;
  const double wait = ahead / rate;
  // Shedding cannot help a class whose first token alone takes too long.
  const double first_token = std::min(
      own->second.mean_first_token_ms,
      static_cast<double>(waiting_class.first_token_target.count()) / 2);
  return Millis(static_cast<std::int64_t>(wait + first_token));
}

double ServiceTimes::ReleaseRate() const {
  double shortest = std::numeric_limits<double>::max();
  for (const auto& [id, record] : records_) {
    if (record.has_enough_samples())
      shortest = std::min(shortest, record.mean_hold_ms);
  }
  double rate = 0;
  for (const auto& [id, record] : records_) {
    rate += record.running /
            (record.has_enough_samples() ? record.mean_hold_ms : shortest);
  }
  return rate;
}

}  // namespace bamboomount
