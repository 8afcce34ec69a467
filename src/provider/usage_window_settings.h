#ifndef PROVIDER_USAGE_WINDOW_SETTINGS_H_
#define PROVIDER_USAGE_WINDOW_SETTINGS_H_

#include <chrono>
#include <functional>

#include "base/base.h"
#include "provider/usage_reports.h"

namespace bamboomount {

// Source of the current time: the system clock in production, a simulated clock
// in tests.
using WallClock = std::function<std::chrono::system_clock::time_point()>;

// All routers and controllers must use the same values. The clock skew between
// instances should be less than `close_delay` minus the interval of the
// routers' writes; with a larger skew usage is counted late but not lost.
struct UsageWindowSettings {
  Millis length{60000};
  // Time from the end of a window to its close.
  Millis close_delay{10000};
  // Number of windows whose router rows are kept after sealing: 10 minutes. A
  // router that was disconnected can thus still read which usage was counted.
  // Routers do not write to older windows. A write that reaches the store after
  // this period is not accounted for.
  int row_retention_windows = 10;
  // Number of windows whose closed and sealed rows are kept: 6 hours, about
  // 29 MB at 1,000 customers and 80 bytes each.
  int seal_retention_windows = 360;

  UsageWindow WindowAt(std::chrono::system_clock::time_point time) const {
    return UsageWindow(std::chrono::floor<Millis>(time.time_since_epoch()) /
                       length);
  }
  std::chrono::system_clock::time_point EndOf(UsageWindow window) const {
    return std::chrono::system_clock::time_point(length * (window.value() + 1));
  }
};

}  // namespace bamboomount

#endif  // PROVIDER_USAGE_WINDOW_SETTINGS_H_
