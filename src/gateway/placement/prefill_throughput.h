#ifndef GATEWAY_PLACEMENT_PREFILL_THROUGHPUT_H_
#define GATEWAY_PLACEMENT_PREFILL_THROUGHPUT_H_

#include <map>

#include "base/base.h"

namespace bamboomount {

// How fast the engines of each pool work off pending prompts, learned from the
// requests of this instance: the tokens that waited at the engine when a
// request was sent, its own among them, against the time to its first token.
class PrefillThroughput {
 public:
  // Fewer tokens say little: other work decides the time to the first token.
  static constexpr Tokens kMinObservedTokens{6000};
  // Before anything was observed; large engines read about as fast.
  static constexpr double kInitialTokensPerMs = 50;

  void Observe(const PoolId& pool, Tokens pending, Millis first_token_latency);
  // Time in which `pending` tokens are read.
  Millis PrefillTime(const PoolId& pool, Tokens pending) const;
  double tokens_per_ms(const PoolId& pool) const;

 private:
  std::map<PoolId, double> tokens_per_ms_;
};

}  // namespace bamboomount

#endif  // GATEWAY_PLACEMENT_PREFILL_THROUGHPUT_H_
