#ifndef GATEWAY_DUTIES_USAGE_SEAL_H_
#define GATEWAY_DUTIES_USAGE_SEAL_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gateway/duties/usage_ledger.h"

namespace bamboomount {

// Final counts of one window. They are written to the store before they are
// reported, so that every lease holder reports the same counts.
struct UsageSeal {
  WindowNumber window;
  UsageCounts counts;
  // The newest window known to have been reported when this one was sealed.
  WindowNumber reported_through;
};

std::string EncodeSeal(const UsageSeal& seal);
// Fails with kInternal.
Result<UsageSeal> DecodeSeal(const std::string& text);

// Decides which usage windows to seal and to report next. Not thread-safe.
class UsageSchedule {
 public:
  // Time after the end of a window within which the counts of all instances
  // normally arrive.
  static constexpr Millis kWriteGracePeriod{2000};
  // Time after the end of a window from which on it is sealed even if counts
  // are missing. Reports are due 10 s after the end.
  static constexpr Millis kSealDeadline{6500};
  // Number of most recent windows that are still sealed and reported.
  static constexpr int kReportableWindows = 4;

  explicit UsageSchedule(Millis window_length)
      : window_length_(window_length) {}

  // Replaces the known seals by those read from the store, at the start of a
  // lease.
  void Load(const std::vector<UsageSeal>& seals);
  // Excludes the windows up to this one: they may have been sealed and reported
  // by holders whose seals the store has lost.
  void SkipThrough(WindowNumber window);
  // The oldest unsealed window among the last kReportableWindows ones whose
  // write grace period has passed by `wall_time`; empty if all of them are
  // sealed.
  std::optional<WindowNumber> NextToSeal(Millis wall_time) const;
  // Whether the window must be sealed at `wall_time` even if counts are
  // missing.
  bool IsLate(WindowNumber window, Millis wall_time) const;
  void MarkSealed(const UsageSeal& seal);
  // The oldest sealed window that has counts, is not known to be reported and
  // is recent enough; null if there is none. The pointer is valid until the
  // seals change.
  const UsageSeal* NextToReport() const;
  void MarkReported(WindowNumber window);
  WindowNumber reported_through() const { return reported_through_; }
  // The newest window that is sealed or excluded; 0 if none is known.
  WindowNumber sealed_through() const;
  // Windows whose seals can be removed from the store.
  std::vector<WindowNumber> OutdatedSeals() const;

 private:
  const Millis window_length_;
  std::map<WindowNumber, UsageSeal> seals_;
  WindowNumber reported_through_;
  WindowNumber skipped_through_;
};

}  // namespace bamboomount

#endif  // GATEWAY_DUTIES_USAGE_SEAL_H_
