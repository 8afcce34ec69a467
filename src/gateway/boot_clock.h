#ifndef GATEWAY_BOOT_CLOCK_H_
#define GATEWAY_BOOT_CLOCK_H_

#include <chrono>

#include "base/base.h"

namespace bamboomount {

// CLOCK_BOOTTIME as a standard clock. Leases and validity periods need a clock
// that keeps running while the machine is suspended.
struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;

  static time_point now() { return time_point(BootTimeNow()); }
};

using Instant = BootClock::time_point;

inline Millis ToMillis(std::chrono::nanoseconds duration) {
  return std::chrono::duration_cast<Millis>(duration);
}

}  // namespace bamboomount

#endif  // GATEWAY_BOOT_CLOCK_H_
