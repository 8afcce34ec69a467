#ifndef TESTS_SOAK_CHECKS_PROMISES_H_
#define TESTS_SOAK_CHECKS_PROMISES_H_

#include <string>
#include <vector>

#include "soak/checks/observations.h"

namespace bamboomount::soak {

// Figures that the instances of the soak are configured with.
struct PromiseBounds {
  Millis key_withdrawal{5000};
  Millis leaving{2000};
  // After a runner saw the effect of a version, for requests on the way.
  Millis rollback_slack{250};
  // Calls that a resumed process had ready to send may arrive for so long.
  Millis thaw_slack{300};
  // Faults and their effects count as over after this time.
  Millis calm{3000};
  double retry_ratio = 0.2;
  int retry_slack = 20;
  Millis retry_window{10000};
  int attempts = 2;
};

// Which promises are checked.
enum class PromiseScope {
  kAll,
  // Only those that hold however slow the machine is.
  kAnySpeed,
};

struct BrokenPromise {
  std::string promise;
  std::string detail;
};

// Returns every promise that the observations show to be broken.
std::vector<BrokenPromise> FindBrokenPromises(const Observations& observations,
                                              const PromiseBounds& bounds,
                                              PromiseScope scope);

}  // namespace bamboomount::soak

#endif  // TESTS_SOAK_CHECKS_PROMISES_H_
