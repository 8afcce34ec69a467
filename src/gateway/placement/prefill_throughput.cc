#include "gateway/placement/prefill_throughput.h"

#include <algorithm>

namespace bamboomount {
namespace {

// Weight of the newest observation.
constexpr double kSmoothingFactor = 0.05;
// Keeps single observations, such as of a frozen engine, from counting more
// than this much off the estimate.
constexpr double kMaxDeviationFactor = 3;

}  // namespace

void PrefillThroughput::Observe(const PoolId& pool,
                                Tokens pending,
                                Millis first_token_latency) {
  if (pending < kMinObservedTokens)
    return;
  const double estimate = tokens_per_ms(pool);
  const double observed = static_cast<double>(pending.value()) /
                          static_cast<double>(std::max<Millis::rep>(
                              first_token_latency.count(), 1));
  const double bounded = std::clamp(observed, estimate / kMaxDeviationFactor,
                                    estimate * kMaxDeviationFactor);
  tokens_per_ms_[pool] = estimate + kSmoothingFactor * (bounded - estimate);
}

Millis PrefillThroughput::PrefillTime(const PoolId& pool,
                                      Tokens pending) const {
  return Millis(static_cast<Millis::rep>(static_cast<double>(pending.value()) /
                                         tokens_per_ms(pool)));
}

double PrefillThroughput::tokens_per_ms(const PoolId& pool) const {
  const auto entry = tokens_per_ms_.find(pool);
  return entry == tokens_per_ms_.end() ? kInitialTokensPerMs : entry->second;
}

}  // namespace bamboomount
