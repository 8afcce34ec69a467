#ifndef GATEWAY_PLACEMENT_READ_SPEED_H_
#define GATEWAY_PLACEMENT_READ_SPEED_H_

#include <map>

#include "base/base.h"

namespace bamboomount {

// How fast the engines of each pool work off waiting prompts, learned from the
// requests of this instance: the tokens that waited at the engine when a
// request was sent, its own among them, against the time to its first token.
class ReadSpeed {
 public:
  // Fewer tokens say little: other work decides the time to the first token.
  static constexpr Tokens kMinTokens{6000};
  // Before anything was observed; large engines read about as fast.
  static constexpr double kInitialTokensPerMs = 50;

  void Observe(const PoolId& pool, Tokens waiting, Millis first_token_after);
  // Time in which `waiting` tokens are read.
  Millis TimeFor(const PoolId& pool, Tokens waiting) const;
  double tokens_per_ms(const PoolId& pool) const;

 private:
  std::map<PoolId, double> speeds_;
};

}  // namespace bamboomount

#endif  // GATEWAY_PLACEMENT_READ_SPEED_H_
