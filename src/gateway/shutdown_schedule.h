#ifndef GATEWAY_SHUTDOWN_SCHEDULE_H_
#define GATEWAY_SHUTDOWN_SCHEDULE_H_

#include <algorithm>

#include "base/base.h"

namespace bamboomount {

// Times of a graceful shutdown, from its start.
struct ShutdownSchedule {
  // New requests are accepted for this time at most, because callers still use
  // cached addresses.
  static constexpr Millis kMaxAcceptPeriod{2900};
  // Left at the end for the last responses and for the last usage figures.
  static constexpr Millis kMargin{700};

  // `stop_deadline`: when the process is ended by force.
  static ShutdownSchedule For(Millis stop_deadline) {
    const Millis end = std::max(Millis(0), stop_deadline - kMargin);
    return {std::min(kMaxAcceptPeriod, end / 2), end};
  }

  // Requests that come later are refused: they might not finish in time.
  Millis accept_period;
  // Requests that are still in progress get their final answer.
  Millis end_of_requests;
};

}  // namespace bamboomount

#endif  // GATEWAY_SHUTDOWN_SCHEDULE_H_
