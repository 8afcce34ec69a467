#ifndef POLICY_RETRY_BUDGET_H_
#define POLICY_RETRY_BUDGET_H_

#include <cstdint>

#include "base/base.h"

namespace bamboomount {

// Bounds retries to 10 % of requests: each request earns a tenth of a retry,
// unused ones are kept up to a burst. Not thread-safe.
class RetryBudget {
 public:
  // Counts a first attempt.
  void AddRequest();
  // Takes one retry from the budget; false if there is none.
  bool TrySpend();

  // Delay before retry number `retry` (from 1), exponential with full jitter.
  // `random` is uniform in [0, 1).
  static Millis Backoff(int retry, double random);

 private:
  // In tenths of a retry; a router that has just started may retry once.
  std::int64_t tenths_ = 10;
};

}  // namespace bamboomount

#endif  // POLICY_RETRY_BUDGET_H_
