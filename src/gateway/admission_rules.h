#ifndef GATEWAY_ADMISSION_RULES_H_
#define GATEWAY_ADMISSION_RULES_H_

#include <string>

#include "base/base.h"

namespace bamboomount {

// The longest time for which a request may queue here for a backend server with
// free capacity: at most half of the target latency, so that short bursts are
// absorbed, and a quarter of the remaining time, so that the caller can still
// retry. Never negative.
Millis MaxQueueTime(Millis target_latency, Millis time_left);

// The delay after which a refused caller should retry. Random delays keep
// callers that were refused together from retrying together. At least 50 ms,
// otherwise up to a third of `time_left`, since callers wait no longer than
// that. `draw` is uniform in [0, 1).
Millis RetryAfter(Millis time_left, double draw);

// The delay after which a caller should retry that was refused because the
// demand is `load_factor` times the capacity. Retries are spread over the time
// for which callers wait, a third of `time_left`; the heavier the overload, the
// later they begin.
Millis RetryAfterOverload(double load_factor, Millis time_left, double draw);

// Formats the value of a Retry-After field: seconds with a decimal fraction.
std::string FormatSeconds(Millis time);

}  // namespace bamboomount

#endif  // GATEWAY_ADMISSION_RULES_H_
