#ifndef GATEWAY_DUTIES_USAGE_WRITE_SCHEDULE_H_
#define GATEWAY_DUTIES_USAGE_WRITE_SCHEDULE_H_

#include <cstdint>
#include <optional>
#include <random>

#include "gateway/boot_clock.h"
#include "gateway/duties/usage_ledger.h"

namespace bamboomount {

// Decides when an instance writes its usage row to the store.
//
// Usage normally reaches the holder of the duty lease by gossip, so that the
// number of writes does not grow with the fleet. An instance writes its row if
// the holder does not confirm the counts of an ended window in time. In a small
// fleet it also writes within a window, since each instance accounts for a
// large share of the usage there, which would be lost if all processes ended at
// once. Not thread-safe.
class UsageWriteSchedule {
 public:
  // Time after the end of a window, or after a change of the holder, within
  // which the holder normally confirms the counts. Ends early enough for the
  // row to be written before the window is sealed without it.
  static constexpr Millis kReceiptTimeout{3500};
  // Writes are spread at random over this time, so that instances do not all
  // write at once.
  static constexpr Millis kWriteJitter{1200};
  // Minimum time between two writes. Doubles with each failed one up to the
  // maximum.
  static constexpr Millis kMinWriteInterval{1000};
  static constexpr Millis kMaxWriteInterval{8000};
  // Interval between writes within a window, which are made only in fleets of
  // at most kMidWindowMaxInstances instances.
  static constexpr Millis kMidWindowWriteInterval{2000};
  static constexpr int kMidWindowMaxInstances = 20;

  // What a decision depends on besides the usage.
  struct Conditions {
    // The last window that has ended.
    WindowNumber ended;
    // See UsageDelivery::delivered_through().
    WindowNumber delivered_through;
    int instances = 1;
  };

  // `receipt_timeout` is zero if there is no gossip. `seed` determines the
  // jitter.
  UsageWriteSchedule(Millis receipt_timeout, std::uint32_t seed)
      : receipt_timeout_(receipt_timeout), random_(seed) {}

  // Whether the row is to be written at `now`.
  bool IsDue(const UsageLedger& usage,
             const Conditions& conditions,
             Instant now);
  void OnWriteStarted(Instant now) { last_write_at_ = now; }
  // The stored row has the counts at `revision`, which are final for all
  // windows up to `through`.
  void OnWritten(std::uint64_t revision, WindowNumber through);
  void OnWriteFailed();
  // Revision of the ledger that the stored row has.
  std::uint64_t written_revision() const { return written_revision_; }

 private:
  // Whether counts of an ended window depend on this process alone.
  bool HasUndeliveredWindow(const UsageLedger& usage,
                            const Conditions& conditions) const;

  const Millis receipt_timeout_;
  std::uint64_t written_revision_ = 0;
  WindowNumber written_through_;
  Instant last_write_at_;
  Millis write_interval_{kMinWriteInterval};
  // When the counts of the oldest undelivered window are written; empty if all
  // are delivered.
  std::optional<Instant> undelivered_due_at_;
  std::minstd_rand random_;
};

}  // namespace bamboomount

#endif  // GATEWAY_DUTIES_USAGE_WRITE_SCHEDULE_H_
