#include "gateway/placement/concurrency_limit.h"

#include <algorithm>

namespace bamboomount {
namespace {

constexpr double kDecreaseFactor = 0.9;
// Added for each answer in time, so that the limit grows by this fraction in
// the time of one answer.
constexpr double kIncreasePerSample = 0.1;
// The limit grows only while at least this fraction of it is used. Requests
// that keep their room when it is lowered use no more than this fraction then.
constexpr double kMinUsedFraction = 0.8;
constexpr double kMinLimit = 2;
// Urgent requests may exceed the limit by this factor, so that their number can
// grow while late answers of others hold the limit down.
constexpr double kUrgentHeadroom = 1.25;

}  // namespace

bool ConcurrencyLimit::HasRoom(Tier priority, bool urgent) const {
  return InFlightUpTo(priority) + 1 <= limit_ * (urgent ? kUrgentHeadroom : 1);
}

int ConcurrencyLimit::InFlightUpTo(Tier priority) const {
  int count = 0;
  for (const auto& [other, requests] : in_flight_) {
    if (other <= priority)
      count += requests;
  }
  return count;
}

int ConcurrencyLimit::InFlight() const {
  return InFlightUpTo(Tier(std::numeric_limits<int>::max()));
}

void ConcurrencyLimit::Record(const FirstTokenSample& sample, Instant now) {
  if (sample.latency <= sample.target_latency * kLateFraction) {
    if (InFlight() >= kMinUsedFraction * limit_)
      limit_ += kIncreasePerSample;
    return;
  }
  // Requests that were sent before the last decrease say nothing about the
  // present limit.
  if (!sample.engine_is_busy || sample.sent_at < decreased_at_)
    return;
  const bool keeps_own_room =
      sample.urgent &&
      sample.latency <= sample.target_latency * kMuchTooLateTargets;
  Decrease(keeps_own_room ? sample.priority : Tier(sample.priority.value() - 1),
           now);
}

void ConcurrencyLimit::Decrease(Tier kept, Instant now) {
  decreased_at_ = now;
  limit_ = std::max({std::min<double>(limit_, InFlight()) * kDecreaseFactor,
                     InFlightUpTo(kept) + 1.0, kMinLimit});
}

}  // namespace bamboomount
