#include "policy/retry_budget.h"

#include <algorithm>

namespace bamboomount {
namespace {

constexpr std::int64_t kTenthsPerRetry = 10;
// A crash fails all streams of a backend server at once.
constexpr std::int64_t kBurstRetries = 20;
constexpr Millis kFirstBackoff{50};
constexpr Millis kLongestBackoff{2000};
constexpr int kMaxDoublings = 10;

}  // namespace

void RetryBudget::AddRequest() {
  tenths_ = std::min(tenths_ + 1, kBurstRetries * kTenthsPerRetry);
}

bool RetryBudget::TrySpend() {
  if (tenths_ < kTenthsPerRetry)
    return false;
  tenths_ -= kTenthsPerRetry;
  return true;
}

Millis RetryBudget::Backoff(int retry, double random) {
  const int doublings = std::clamp(retry - 1, 0, kMaxDoublings);
  const Millis longest =
      std::min(kLongestBackoff, kFirstBackoff * (1 << doublings));
  return Millis(
      static_cast<std::int64_t>(static_cast<double>(longest.count()) * random));
}

}  // namespace bamboomount
