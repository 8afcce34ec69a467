#include "policy/internal/service_times.h"

#include <algorithm>
#include <limits>

namespace bamboomount {
namespace {

constexpr int kMinSamples = 8;
constexpr double kSlowestGain = 0.05;

void Average(double& mean, int& samples, double value) {
  ++samples;
  mean += std::max(kSlowestGain, 1.0 / samples) * (value - mean);
}

}  // namespace

bool ServiceTimes::Record::has_evidence() const {
  return samples >= kMinSamples && held_millis > 0;
}

void ServiceTimes::Start(const ClassId& class_id) {
  ++records_[class_id].running;
}

void ServiceTimes::End(const ClassId& class_id, std::optional<Millis> held) {
  Record& record = records_[class_id];
  --record.running;
  if (held) {
    Average(record.held_millis, record.samples,
            static_cast<double>(held->count()));
  }
}

void ServiceTimes::ObserveFirstToken(const ClassId& class_id, Millis time) {
  Record& record = records_[class_id];
  Average(record.first_token_millis, record.first_token_samples,
          static_cast<double>(time.count()));
}

std::optional<Millis> ServiceTimes::PredictLast(
    const WaitingQueue::ClassCount& last,
    const std::map<WaitingQueue::ClassKey, WaitingQueue::ClassCount>& counts)
    const {
  const auto own = records_.find(last.class_id);
  if (own == records_.end() || !own->second.has_evidence())
    return std::nullopt;
  int running = 0;
  for (const auto& [id, record] : records_)
    running += record.running;
  double ahead = 0;
  for (const auto& [key, count] : counts) {
    if (key.first > last.tier)
      break;
    ahead += count.waiting;
  }
  const double rate = ReleaseRate();
  if (running == 0 || rate <= 0)
    return std::nullopt;
  const double wait = ahead / rate;
  // Shedding cannot help a class whose first token alone takes too long.
  const double first_token =
      std::min(own->second.first_token_millis,
               static_cast<double>(last.first_token_target.count()) / 2);
  return Millis(static_cast<std::int64_t>(wait + first_token));
}

double ServiceTimes::ReleaseRate() const {
  double shortest = std::numeric_limits<double>::max();
  for (const auto& [id, record] : records_) {
    if (record.has_evidence())
      shortest = std::min(shortest, record.held_millis);
  }
  double rate = 0;
  for (const auto& [id, record] : records_) {
    rate += record.running /
            (record.has_evidence() ? record.held_millis : shortest);
  }
  return rate;
}

}  // namespace bamboomount
