#ifndef GATEWAY_REPLICATION_STORE_WATCH_COORDINATOR_H_
#define GATEWAY_REPLICATION_STORE_WATCH_COORDINATOR_H_

#include <array>

#include "gateway/gateway_state.h"
#include "gateway/internal/asio.h"
#include "gateway/replication/gossip_message.h"
#include "gateway/replication/table_follower.h"

namespace bamboomount {

// Shares out who watches the store: the first instance of the fleet's order
// asks for changes often enough to keep the knowledge of all fresh, the second
// one waits for changes as well, and the others learn from them. An instance
// whose knowledge grows old all the same asks the store by itself, so that
// nobody depends on others for longer than a part of the tightest deadline.
class StoreWatchCoordinator {
 public:
  using Followers = std::array<TableFollower*, kSharedTableCount>;

  // `store` must be another object than those of the followers.
  StoreWatchCoordinator(asio::io_context& context,
                        GatewayState& state,
                        AsyncTableStore& store,
                        const Followers& followers);

  void Start();
  // An instance is known to others, but not here.
  void OnUnknownSender(const InstanceId& instance);

 private:
  void Tick();
  void AssignWatchRole(Instant now);
  void PollIfStale(Instant now);
  // The age from which on this instance asks the store by itself.
  Millis MaxStaleness() const;
  // The tightest time in which a change must have taken effect.
  Millis TightestDeadline() const;

  GatewayState& state_;
  AsyncTableStore& store_;
  const Followers followers_;
  std::size_t rank_ = 0;
  Instant assigned_at_;
  Instant next_poll_;
  Millis poll_backoff_{0};
  // When an instance without a row was heard first.
  std::optional<Instant> unknown_sender_since_;
  asio::steady_timer timer_;
};

}  // namespace bamboomount

#endif  // GATEWAY_REPLICATION_STORE_WATCH_COORDINATOR_H_
