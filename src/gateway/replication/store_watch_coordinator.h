#ifndef GATEWAY_REPLICATION_STORE_WATCH_COORDINATOR_H_
#define GATEWAY_REPLICATION_STORE_WATCH_COORDINATOR_H_

#include <array>

#include "gateway/gateway_state.h"
#include "gateway/internal/asio.h"
#include "gateway/replication/gossip_message.h"
#include "gateway/replication/stale_poll_schedule.h"
#include "gateway/replication/table_follower.h"

namespace bamboomount {

// Decides which instances watch the store. The instance of rank 0 long-polls
// often enough to keep the replicas of all instances fresh, the one of rank 1
// long-polls as its backup, and all others learn changes by gossip. An instance
// whose replicas become stale nevertheless polls the store itself, so that it
// depends on others for only a fraction of the tightest deadline. Used from the
// thread of the io_context.
class StoreWatchCoordinator {
 public:
  using Followers = std::array<TableFollower*, kSharedTableCount>;

  // `store` must not be used by the followers: their long polls would delay its
  // calls. It must outlive this object, as must the others.
  StoreWatchCoordinator(asio::io_context& context,
                        GatewayState& state,
                        AsyncTableStore& store,
                        const Followers& followers);

  // Runs the checks every 100 ms from now on.
  void Start();
  // Called for each gossip message from an instance without a known row. Polls
  // the instance table if this goes on for 1 s.
  void OnUnknownSender(const InstanceId& instance);

 private:
  void Tick();
  void AssignWatchRole(Instant now);
  // Polls the store for the tables that are stale, when the schedule allows it.
  void PollIfStale(Instant now);
  // Whether another table was read in a later era of the store.
  bool IsOfEarlierEra(SharedTable table) const;
  // Staleness above which this instance polls the store itself. Grows with the
  // rank.
  Millis MaxStaleness() const;
  // The shortest of the deadlines by which a change must be in effect.
  Millis TightestDeadline() const;

  GatewayState& state_;
  AsyncTableStore& store_;
  const Followers followers_;
  std::size_t rank_ = 0;
  Instant assigned_at_;
  StalePollSchedule poll_schedule_;
  // First of the current series of messages from unknown senders.
  std::optional<Instant> unknown_sender_since_;
  asio::steady_timer timer_;
};

}  // namespace bamboomount

#endif  // GATEWAY_REPLICATION_STORE_WATCH_COORDINATOR_H_
