#ifndef GATEWAY_CONTROL_FRESHNESS_GUARD_H_
#define GATEWAY_CONTROL_FRESHNESS_GUARD_H_

#include <random>

#include "gateway/control/table_follower.h"
#include "gateway/gateway_state.h"

namespace bamboomount {

// Keeps the configuration confirmed: asks the store when neither an answer nor
// another instance has confirmed it for a while. The time is drawn anew for
// each round, so that one instance of the fleet asks and tells the others.
class FreshnessGuard {
 public:
  FreshnessGuard(asio::io_context& context,
                 TableFollower& config,
                 AsyncTableStore& store,
                 GatewayState& state);

  void Start();
  // Asks now; another instance has a newer configuration.
  void AskNow();

 private:
  void Check();
  void DrawLimit();

  TableFollower& config_;
  AsyncTableStore& store_;
  GatewayState& state_;
  asio::steady_timer timer_;
  std::minstd_rand random_;
  Millis limit_{0};
};

}  // namespace bamboomount

#endif  // GATEWAY_CONTROL_FRESHNESS_GUARD_H_
