#include "policy/retry_budget.h"

#include <algorithm>

namespace bamboomount {
namespace {

constexpr Millis kInitialBackoff{50};
constexpr Millis kMaxBackoff{2000};
constexpr int kMaxDoublings = 10;

}  // namespace

void RetryBudget::AddRequest(int percent) {
  hundredths_ =
      std::min(hundredths_ + percent, kBurstRetries * kHundredthsPerRetry);
}

bool RetryBudget::TrySpend() {
  if (hundredths_ < kHundredthsPerRetry)
    return false;
  hundredths_ -= kHundredthsPerRetry;
  return true;
}

Millis RetryBudget::Backoff(int retry, double random) {
  const int doublings = std::clamp(retry - 1, 0, kMaxDoublings);
  const Millis max_delay =
      std::min(kMaxBackoff, kInitialBackoff * (1 << doublings));
  return Millis(static_cast<std::int64_t>(
      static_cast<double>(max_delay.count()) * random));
}

}  // namespace bamboomount
