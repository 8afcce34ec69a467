#include "gateway/duties/usage_write_schedule.h"

#include <algorithm>

namespace bamboomount {

bool UsageWriteSchedule::IsDue(const UsageLedger& usage,
                               const Conditions& conditions,
                               Instant now) {
  if (!HasUndeliveredWindow(usage, conditions)) {
    undelivered_due_at_.reset();
  } else if (!undelivered_due_at_) {
    std::uniform_int_distribution<Millis::rep> jitter(0, kWriteJitter.count());
    undelivered_due_at_ = now + receipt_timeout_ + Millis(jitter(random_));
  }
  if (usage.windows().empty() || now - last_write_at_ < write_interval_)
    return false;
  if (undelivered_due_at_ && now >= *undelivered_due_at_)
    return true;
  return conditions.instances <= kMidWindowMaxInstances &&
         usage.revision() != written_revision_ &&
         now - last_write_at_ >= kMidWindowWriteInterval;
}

bool UsageWriteSchedule::HasUndeliveredWindow(
    const UsageLedger& usage,
    const Conditions& conditions) const {
  const WindowNumber safe =
      std::max(written_through_, conditions.delivered_through);
  return safe < conditions.ended && !usage.windows().empty() &&
         usage.windows().rbegin()->first > safe;
}

void UsageWriteSchedule::OnWritten(std::uint64_t revision,
                                   WindowNumber through) {
  written_revision_ = revision;
  written_through_ = through;
  write_interval_ = kMinWriteInterval;
}

void UsageWriteSchedule::OnWriteFailed() {
  write_interval_ = std::min(2 * write_interval_, kMaxWriteInterval);
}

}  // namespace bamboomount
