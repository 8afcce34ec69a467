#ifndef POLICY_RETRY_BUDGET_H_
#define POLICY_RETRY_BUDGET_H_

#include <cstdint>

#include "base/base.h"

namespace bamboomount {

// Bounds retries to a share of requests: each request earns a part of a retry,
// unused ones are kept up to kBurstRetries. Not thread-safe.
class RetryBudget {
 public:
  // A crash fails all streams of a backend server at once; a router that has
  // just started must be able to resume them too, so the budget starts full.
  static constexpr std::int64_t kBurstRetries = 20;
  static constexpr int kDefaultPercent = 10;

  // Counts a first attempt, which earns `percent` hundredths of a retry.
  void AddRequest(int percent = kDefaultPercent);
  // Takes one retry from the budget; false if there is none.
  bool TrySpend();

  // Delay before retry number `retry` (from 1), exponential with full jitter.
  // `random` is uniform in [0, 1).
  static Millis Backoff(int retry, double random);

 private:
  static constexpr std::int64_t kHundredthsPerRetry = 100;

  std::int64_t hundredths_ = kBurstRetries * kHundredthsPerRetry;
};

}  // namespace bamboomount

#endif  // POLICY_RETRY_BUDGET_H_
