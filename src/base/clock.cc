#include "base/clock.h"

#include <time.h>

namespace bamboomount {

std::chrono::nanoseconds BootTimeNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return std::chrono::seconds(now.tv_sec) +
         std::chrono::nanoseconds(now.tv_nsec);
}

}  // namespace bamboomount
