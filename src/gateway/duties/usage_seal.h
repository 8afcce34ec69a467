#ifndef GATEWAY_DUTIES_USAGE_SEAL_H_
#define GATEWAY_DUTIES_USAGE_SEAL_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gateway/duties/usage_ledger.h"

namespace bamboomount {

// The figures of one window, fixed in the store before they are reported, so
// that every holder reports the same ones.
struct UsageSeal {
  WindowNumber window;
  UsageCounts counts;
  // The newest window that is known to be reported when this one is sealed.
  WindowNumber reported_through;
};

std::string EncodeSeal(const UsageSeal& seal);
// Fails with kInternal.
Result<UsageSeal> DecodeSeal(const std::string& text);

// Decides which windows are to be sealed and reported next.
class UsageSchedule {
 public:
  // Instances write their figures within this time of a window's end, as a
  // rule.
  static constexpr Millis kWriteGracePeriod{2000};
  // Figures that were not written by then are left out: reports are due 10 s
  // after the end.
  static constexpr Millis kSealDeadline{6500};
  // Older windows are not reported any more.
  static constexpr int kReportableWindows = 4;

  explicit UsageSchedule(Millis window_length)
      : window_length_(window_length) {}

  // Takes the place of what was known, at the start of a lease.
  void Load(const std::vector<UsageSeal>& seals);
  // The newest window that is due to be sealed at `wall_time` and is not;
  // windows come in order.
  std::optional<WindowNumber> NextToSeal(Millis wall_time) const;
  // Whether the window must be sealed even if some figures are missing.
  bool IsLate(WindowNumber window, Millis wall_time) const;
  void MarkSealed(const UsageSeal& seal);
  // A sealed window that is not known to be reported.
  const UsageSeal* NextToReport() const;
  void MarkReported(WindowNumber window);
  WindowNumber reported_through() const { return reported_through_; }
  // Windows whose seals are no longer needed.
  std::vector<WindowNumber> OutdatedSeals() const;

 private:
  const Millis window_length_;
  std::map<WindowNumber, UsageSeal> seals_;
  WindowNumber reported_through_;
};

}  // namespace bamboomount

#endif  // GATEWAY_DUTIES_USAGE_SEAL_H_
