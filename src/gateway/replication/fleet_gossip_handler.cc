#include "gateway/replication/fleet_gossip_handler.h"

#include <utility>

namespace bamboomount {

GossipMessage FleetGossipHandler::BuildMessage() {
  const Instant now = BootClock::now();
  GossipMessage message;
  for (std::size_t i = 0; i < kSharedTableCount; ++i)
    message.tables[i] = followers_[i]->status();
  message.member_status.wall_offset = state_.LocalWallClockOffset(now);
  message.member_status.store_reachable = state_.store_reachable();
  message.store_recovery_time = state_.store_recovery_time();
  message.holder_statement = lease_.LatestHolderStatement(now);
  message.member_status.reaches_servers = state_.reaches_servers();
  // While this instance reaches no server, its failures say nothing of them.
  if (state_.reaches_servers()) {
    message.unreachable = state_.cold_pacer().Unreachable(now);
    message.ejected = state_.health().EjectedServers(now);
  }
  message.part_evidence = state_.poison_parts().Evidence(now);
  message.usage_sealed_through = state_.usage_delivery().sealed_through();
  return message;
}

std::optional<UsageReceipt> FleetGossipHandler::OnMessage(
    GossipMessage message,
    const Member& sender) {
  const Instant now = BootClock::now();
  // Must precede the tables: whether a removed backend row is dropped at once
  // depends on the time of the last store recovery.
  state_.OnReportedStoreRecovery(message.store_recovery_time, now);
  ApplyTables(message, sender.peer_address);
  UsageDelivery& delivery = state_.usage_delivery();
  if (message.holder_statement) {
    lease_.OnHolderStatement(*message.holder_statement, now);
    delivery.ObserveHolder(message.holder_statement->token);
  }
  delivery.ObserveSealed(message.usage_sealed_through);
  const auto& receipt = message.usage_receipt;
  if (receipt && receipt->incarnation == incarnation_)
    delivery.RecordReceived(receipt->token, receipt->complete_through);
  for (const RelayedHeartbeat& heartbeat : message.heartbeats)
    state_.members().RecordRelayedHeartbeat(heartbeat, now);
  state_.health().SetRemoteEjections(message.instance, message.ejected, now);
  state_.poison_parts().Merge(message.part_evidence, now);
  if (message.loads)
    state_.loads().SetRemoteLoads(message.instance, std::move(*message.loads));
  state_.cold_pacer().MergeUnreachable(message.unreachable, now);
  if (message.demand)
    state_.fleet_demand().SetPeerDemand(message.instance, *message.demand, now);
  if (!message.usage_update)
    return std::nullopt;
  return ApplyUsage(std::move(*message.usage_update), now);
}

void FleetGossipHandler::ApplyTables(const GossipMessage& message,
                                     const std::string& address) {
  for (std::size_t i = 0; i < kSharedTableCount; ++i) {
    // Version 0: the sender has not loaded the table yet.
    if (message.tables[i].position.version == RowVersion())
      continue;
    TableFollower& follower = *followers_[i];
    follower.OnPeerStatus(
        message.tables[i],
        [this, &follower, address](const TablePosition& after,
                                   PeerRowsClient::Callback done) {
          client_.Fetch(address, {follower.table(), after}, std::move(done));
        });
  }
}

std::optional<UsageReceipt> FleetGossipHandler::ApplyUsage(UsageUpdate update,
                                                           Instant now) {
  const UsageReceipt receipt{update.incarnation, lease_.HeldToken(now),
                             update.usage.complete_through};
  state_.RecordPeerUsage(update.incarnation, std::move(update.usage));
  if (!update.needs_receipt || receipt.token == FencingToken())
    return std::nullopt;
  return receipt;
}

void FleetGossipHandler::OnUnknownSender(const InstanceId& instance) {
  watch_coordinator_.OnUnknownSender(instance);
}

void FleetGossipHandler::OnPeersExpired(
    const std::vector<InstanceId>& live_peers) {
  state_.loads().RetainRemoteLoads(live_peers);
  state_.fleet_demand().RetainPeers(live_peers);
}

std::optional<std::string> FleetGossipHandler::AnswerRowsQuery(
    const std::string& target) {
  const auto query = DecodePeerRowsTarget(target);
  if (!query)
    return std::nullopt;
  for (const TableFollower* follower : followers_) {
    if (follower->table() == query->table && follower->is_loaded())
      return encoder_.Encode(*query, follower->RowsSince(query->after));
  }
  return std::nullopt;
}

}  // namespace bamboomount
