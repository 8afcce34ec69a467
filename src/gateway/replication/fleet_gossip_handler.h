#ifndef GATEWAY_REPLICATION_FLEET_GOSSIP_HANDLER_H_
#define GATEWAY_REPLICATION_FLEET_GOSSIP_HANDLER_H_

#include <string>
#include <vector>

#include "gateway/control/duty_lease_manager.h"
#include "gateway/gateway_state.h"
#include "gateway/replication/gossip_exchange.h"
#include "gateway/replication/peer_rows.h"
#include "gateway/replication/store_watch_coordinator.h"

namespace bamboomount {

// What this instance tells others and does with their message: how far the
// tables of the store are known, who holds the duty lease, and the load on
// backend servers.
class FleetGossipHandler : public GossipHandler {
 public:
  FleetGossipHandler(asio::io_context& context,
                     GatewayState& state,
                     const StoreWatchCoordinator::Followers& followers,
                     StoreWatchCoordinator& watch_coordinator,
                     DutyLeaseManager& lease)
      : state_(state),
        followers_(followers),
        watch_coordinator_(watch_coordinator),
        lease_(lease),
        client_(context) {}

  GossipMessage BuildMessage() override;
  void OnMessage(GossipMessage message, const Member& sender) override;
  void OnUnknownSender(const InstanceId& instance) override;
  void OnPeersExpired(const std::vector<InstanceId>& live_peers) override;

  // Answers another instance's question; empty if it is another call or the
  // table is not known here.
  std::optional<std::string> AnswerRowsQuery(const std::string& target) const;

 private:
  GatewayState& state_;
  const StoreWatchCoordinator::Followers followers_;
  StoreWatchCoordinator& watch_coordinator_;
  DutyLeaseManager& lease_;
  PeerRowsClient client_;
};

}  // namespace bamboomount

#endif  // GATEWAY_REPLICATION_FLEET_GOSSIP_HANDLER_H_
