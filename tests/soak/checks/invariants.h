#ifndef TESTS_SOAK_CHECKS_INVARIANTS_H_
#define TESTS_SOAK_CHECKS_INVARIANTS_H_

#include <string>
#include <vector>

#include "soak/checks/observations.h"

namespace bamboomount::soak {

// Figures that the instances of the soak are configured with.
struct InvariantBounds {
  Millis max_key_withdrawal_delay{5000};
  Millis max_retirement_delay{2000};
  // After a runner saw the effect of a version, for requests on the way.
  Millis rollback_slack{250};
  // Calls that a resumed process had ready to send may arrive for so long.
  Millis resume_slack{300};
  // Faults and their effects count as over after this time.
  Millis fault_recovery_time{3000};
  double retry_ratio = 0.2;
  int retry_slack = 20;
  Millis retry_window{10000};
  int max_attempts = 2;
};

// Which promises are checked.
enum class InvariantScope {
  kAll,
  // Only those that hold however slow the machine is.
  kTimingIndependent,
};

struct InvariantViolation {
  std::string invariant;
  std::string detail;
};

// Returns every invariant that the observations show to be broken.
std::vector<InvariantViolation> FindInvariantViolations(
    const Observations& observations,
    const InvariantBounds& bounds,
    InvariantScope scope);

}  // namespace bamboomount::soak

#endif  // TESTS_SOAK_CHECKS_INVARIANTS_H_
