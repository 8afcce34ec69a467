#ifndef TESTS_SOAK_CHECKS_INVARIANTS_H_
#define TESTS_SOAK_CHECKS_INVARIANTS_H_

#include <string>
#include <vector>

#include "soak/checks/observations.h"

namespace bamboomount::soak {

// Limits that follow from the configuration of the instances, and tolerances
// for what is in flight.
struct InvariantBounds {
  // A withdrawn key may be accepted for this long after the change.
  Millis max_key_withdrawal_delay{5000};
  // A retired backend server may get requests for this long after the change.
  Millis max_retirement_delay{2000};
  // After a reply by a newer version of the configuration, a process may still
  // serve requests by an older one if they are sent within this time, because
  // requests may be in flight.
  Millis rollback_slack{250};
  // Calls that a paused process was about to send may arrive for this long
  // after it is resumed.
  Millis resume_slack{300};
  // The effects of a fault are assumed to be over this long after its end.
  Millis fault_recovery_time{3000};
  // In each `retry_window`, all instances together may send at most
  // `retry_ratio` retries per request plus `retry_slack`.
  double retry_ratio = 0.2;
  int retry_slack = 20;
  Millis retry_window{10000};
  // Maximum number of backend servers that one request may run on.
  int max_attempts = 2;
};

// Which invariants are checked.
enum class InvariantScope {
  kAll,
  // Only those that hold however slow the machine is.
  kTimingIndependent,
};

// `detail` names the request, process or values involved, for the report.
struct InvariantViolation {
  std::string invariant;
  std::string detail;
};

// Returns the violations that the observations show. One invariant may
// appear more than once.
std::vector<InvariantViolation> FindInvariantViolations(
    const Observations& observations,
    const InvariantBounds& bounds,
    InvariantScope scope);

}  // namespace bamboomount::soak

#endif  // TESTS_SOAK_CHECKS_INVARIANTS_H_
