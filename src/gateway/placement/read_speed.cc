#include "gateway/placement/read_speed.h"

#include <algorithm>

namespace bamboomount {
namespace {

// Weight of the newest observation.
constexpr double kGain = 0.05;
// Keeps single observations, such as of a frozen engine, from counting more
// than this much off the estimate.
constexpr double kMaxFactor = 3;

}  // namespace

void ReadSpeed::Observe(const PoolId& pool,
                        Tokens waiting,
                        Millis first_token_after) {
  if (waiting < kMinTokens)
    return;
  const double estimate = tokens_per_ms(pool);
  const double observed =
      static_cast<double>(waiting.value()) /
      static_cast<double>(std::max<Millis::rep>(first_token_after.count(), 1));
  const double bounded =
      std::clamp(observed, estimate / kMaxFactor, estimate * kMaxFactor);
  speeds_[pool] = estimate + kGain * (bounded - estimate);
}

Millis ReadSpeed::TimeFor(const PoolId& pool, Tokens waiting) const {
  return Millis(static_cast<Millis::rep>(static_cast<double>(waiting.value()) /
                                         tokens_per_ms(pool)));
}

double ReadSpeed::tokens_per_ms(const PoolId& pool) const {
  const auto speed = speeds_.find(pool);
  return speed == speeds_.end() ? kInitialTokensPerMs : speed->second;
}

}  // namespace bamboomount
