#ifndef GATEWAY_REPLICATION_FLEET_GOSSIP_HANDLER_H_
#define GATEWAY_REPLICATION_FLEET_GOSSIP_HANDLER_H_

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "gateway/control/duty_lease_manager.h"
#include "gateway/gateway_state.h"
#include "gateway/replication/gossip_exchange.h"
#include "gateway/replication/peer_rows.h"
#include "gateway/replication/store_watch_coordinator.h"

namespace bamboomount {

// Builds the gossip messages of this instance and applies those of its peers:
// replication status of the shared tables, the holder of the duty lease, loads
// and ejections of backend servers, and usage. Used from the thread of the
// io_context.
class FleetGossipHandler : public GossipHandler {
 public:
  FleetGossipHandler(asio::io_context& context,
                     GatewayState& state,
                     const StoreWatchCoordinator::Followers& followers,
                     StoreWatchCoordinator& watch_coordinator,
                     DutyLeaseManager& lease,
                     Incarnation incarnation)
      : state_(state),
        followers_(followers),
        watch_coordinator_(watch_coordinator),
        lease_(lease),
        incarnation_(std::move(incarnation)),
        client_(context) {}

  GossipMessage BuildMessage() override;
  std::optional<UsageReceipt> OnMessage(GossipMessage message,
                                        const Member& sender) override;
  void OnUnknownSender(const InstanceId& instance) override;
  void OnPeersExpired(const std::vector<InstanceId>& live_peers) override;

  // Returns the response body for a PeerRowsQuery. Empty if `target` is another
  // call, or if the table is unknown or not loaded yet.
  std::optional<std::string> AnswerRowsQuery(const std::string& target);

 private:
  void ApplyTables(const GossipMessage& message, const std::string& address);
  // Stores the usage in an update. Returns a receipt if the update needs one
  // and this instance holds the lease.
  std::optional<UsageReceipt> ApplyUsage(UsageUpdate update, Instant now);

  GatewayState& state_;
  const StoreWatchCoordinator::Followers followers_;
  StoreWatchCoordinator& watch_coordinator_;
  DutyLeaseManager& lease_;
  const Incarnation incarnation_;
  PeerRowsClient client_;
  PeerRowsEncoder encoder_;
};

}  // namespace bamboomount

#endif  // GATEWAY_REPLICATION_FLEET_GOSSIP_HANDLER_H_
