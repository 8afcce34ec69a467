#include "gateway/duties/usage_ledger.h"

namespace bamboomount {

void UsageLedger::RecordRequest(WindowNumber window,
                                const CustomerId& customer) {
  ++revision_;
  ++windows_[window][customer];
  const WindowNumber oldest =
      windows_.rbegin()->first - WindowNumber(kRetainedWindows - 1);
  windows_.erase(windows_.begin(), windows_.lower_bound(oldest));
}

WindowNumber WindowAt(Millis wall_time, Millis window_length) {
  return WindowNumber(wall_time / window_length);
}

}  // namespace bamboomount
