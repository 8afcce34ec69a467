#ifndef POLICY_RETRY_BUDGET_H_
#define POLICY_RETRY_BUDGET_H_

#include <cstdint>

#include "base/base.h"

namespace bamboomount {

// Limits retries to a percentage of first attempts: each first attempt earns a
// fraction of a retry, and up to kBurstRetries unused retries accumulate. Not
// thread-safe.
class RetryBudget {
 public:
  // Capacity and initial value of the budget, in retries. The crash of a
  // backend server fails all its streams at once; a router that has just
  // started must be able to resume them too, so the budget starts full.
  static constexpr std::int64_t kBurstRetries = 20;
  // Retries per hundred first attempts.
  static constexpr int kDefaultPercent = 10;

  // Adds `percent` hundredths of a retry for one first attempt.
  void AddRequest(int percent = kDefaultPercent);
  // Takes one retry from the budget. Returns false if none is left.
  bool TrySpend();

  // Returns the delay before retry number `retry` (from 1): exponential
  // back-off with full jitter. `random` is uniform in [0, 1).
  static Millis Backoff(int retry, double random);

 private:
  static constexpr std::int64_t kHundredthsPerRetry = 100;

  std::int64_t hundredths_ = kBurstRetries * kHundredthsPerRetry;
};

}  // namespace bamboomount

#endif  // POLICY_RETRY_BUDGET_H_
