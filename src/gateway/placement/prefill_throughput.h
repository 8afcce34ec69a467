#ifndef GATEWAY_PLACEMENT_PREFILL_THROUGHPUT_H_
#define GATEWAY_PLACEMENT_PREFILL_THROUGHPUT_H_

#include <map>

#include "base/base.h"

namespace bamboomount {

// Estimates the prefill throughput of the engines of each pool. An observation
// is the number of prompt tokens pending at the engine when this instance sent
// a request, including the request's own, divided by the time to its first
// token. Not thread-safe.
class PrefillThroughput {
 public:
  // Observations with fewer tokens are ignored, because other work dominates
  // the time to the first token.
  static constexpr Tokens kMinObservedTokens{6000};
  // Estimate before the first observation, typical of large engines.
  static constexpr double kInitialTokensPerMs = 50;

  // Records the time to the first token of a request that had `pending` prompt
  // tokens, including its own, to wait for.
  void Observe(const PoolId& pool, Tokens pending, Millis first_token_latency);
  // Estimated time to prefill `pending` tokens.
  Millis PrefillTime(const PoolId& pool, Tokens pending) const;
  double tokens_per_ms(const PoolId& pool) const;

 private:
  std::map<PoolId, double> tokens_per_ms_;
};

}  // namespace bamboomount

#endif  // GATEWAY_PLACEMENT_PREFILL_THROUGHPUT_H_
