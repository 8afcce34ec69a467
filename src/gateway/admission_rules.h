#ifndef GATEWAY_ADMISSION_RULES_H_
#define GATEWAY_ADMISSION_RULES_H_

#include <string>

#include "base/base.h"

namespace bamboomount {

// How long a request may wait here for room at a backend server. Answers bursts
// that pass within a part of the target; longer waits would use up the time
// that the caller needs for a retry.
Millis MaxQueueTime(Millis target_latency, Millis time_left);

// When a caller that was refused should come back: soon enough to be served in
// time, and spread out, so that callers that were refused together do not
// return together. Callers honour at most a third of the time that they have
// left. `draw` is uniform in [0, 1).
Millis RetryAfter(Millis time_left, double draw);

// The value of a Retry-After field: seconds with a fraction.
std::string FormatSeconds(Millis time);

}  // namespace bamboomount

#endif  // GATEWAY_ADMISSION_RULES_H_
