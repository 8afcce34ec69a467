#ifndef BASE_CLOCK_H_
#define BASE_CLOCK_H_

#include <chrono>

namespace bamboomount {

using Millis = std::chrono::milliseconds;
using SteadyTime = std::chrono::steady_clock::time_point;

// Returns the time since boot, including time suspended (CLOCK_BOOTTIME).
// Leases use it, since CLOCK_MONOTONIC stops while a machine is suspended.
std::chrono::nanoseconds BootTimeNow();

}  // namespace bamboomount

#endif  // BASE_CLOCK_H_
