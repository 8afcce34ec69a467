#ifndef GATEWAY_DUTIES_USAGE_LEDGER_H_
#define GATEWAY_DUTIES_USAGE_LEDGER_H_

#include <cstdint>
#include <map>

#include "base/base.h"

namespace bamboomount {

// Number of a usage window: windows follow each other from the start of 1970.
using WindowNumber = StrongCount<struct WindowNumberTag>;
// Requests that began to run, by customer.
using UsageCounts = std::map<CustomerId, std::int64_t>;

// Requests that began to run at this instance's word, by window and customer.
// Old windows are dropped once every reader must have seen them.
class UsageLedger {
 public:
  // Windows that are kept, the newest included.
  static constexpr int kRetainedWindows = 5;

  void RecordRequest(WindowNumber window, const CustomerId& customer);
  const std::map<WindowNumber, UsageCounts>& windows() const {
    return windows_;
  }
  // Grows with each count.
  std::uint64_t revision() const { return revision_; }

 private:
  std::map<WindowNumber, UsageCounts> windows_;
  std::uint64_t revision_ = 0;
};

// The window that contains `wall_time`, the time since the start of 1970.
WindowNumber WindowAt(Millis wall_time, Millis window_length);

}  // namespace bamboomount

#endif  // GATEWAY_DUTIES_USAGE_LEDGER_H_
