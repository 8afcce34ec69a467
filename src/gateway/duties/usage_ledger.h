#ifndef GATEWAY_DUTIES_USAGE_LEDGER_H_
#define GATEWAY_DUTIES_USAGE_LEDGER_H_

#include <cstdint>
#include <map>

#include "base/base.h"

namespace bamboomount {

// Index of a usage window. Windows are consecutive and start at the Unix epoch.
using WindowNumber = StrongCount<struct WindowNumberTag>;
// Number of started requests by customer.
using UsageCounts = std::map<CustomerId, std::int64_t>;

// Requests that started on a backend server through this instance, by window
// and customer. Only the newest kRetainedWindows windows are kept; by then,
// every reader must have read the older ones. Not thread-safe.
class UsageLedger {
 public:
  // Number of windows that are retained, including the newest one.
  static constexpr int kRetainedWindows = 5;

  void RecordRequest(WindowNumber window, const CustomerId& customer);
  const std::map<WindowNumber, UsageCounts>& windows() const {
    return windows_;
  }
  // Increases with every recorded request.
  std::uint64_t revision() const { return revision_; }

 private:
  std::map<WindowNumber, UsageCounts> windows_;
  std::uint64_t revision_ = 0;
};

// The window that contains `wall_time`, given as the time since the Unix epoch.
WindowNumber WindowAt(Millis wall_time, Millis window_length);

}  // namespace bamboomount

#endif  // GATEWAY_DUTIES_USAGE_LEDGER_H_
