#ifndef GATEWAY_REPLICATION_GOSSIP_MESSAGE_H_
#define GATEWAY_REPLICATION_GOSSIP_MESSAGE_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "gateway/admission/demand.h"
#include "gateway/duties/incarnation_usage.h"
#include "gateway/duties/usage_delivery.h"
#include "gateway/membership/member_registry.h"
#include "gateway/placement/backend_loads.h"
#include "gateway/placement/cold_server_pacer.h"
#include "gateway/placement/poison_part_detector.h"
#include "gateway/placement/server_health.h"
#include "gateway/replication/replica_status.h"

namespace bamboomount {

// Tables of the store that every instance replicates.
enum class SharedTable { kConfig, kBackends, kInstances };
inline constexpr std::size_t kSharedTableCount = 3;

// The last statement of the holder of the duty lease that the sender of the
// message knows of.
struct HolderStatement {
  InstanceId holder;
  FencingToken token;
  // Time since the holder stated that it holds the lease.
  Millis age{0};
};

// Usage of one incarnation in the windows that are not sealed yet.
struct UsageUpdate {
  Incarnation incarnation;
  IncarnationUsage usage;
  // Whether the holder of the duty lease is to respond with a UsageReceipt.
  bool needs_receipt = false;
};

// The state that an instance sends to its peers several times a second.
struct GossipMessage {
  InstanceId instance;
  // Increases with each message; receivers drop messages that arrive out of
  // order.
  std::uint64_t sequence = 0;
  // Indexed by SharedTable. A table that is not loaded yet has version 0.
  std::array<ReplicaStatus, kSharedTableCount> tables;
  MemberStatus member_status;
  // Steady clock of the store at its last recovery from an outage; 0 if there
  // was none.
  Millis store_recovery_time{0};
  std::optional<HolderStatement> holder_statement;
  // Load of the requests that the sender has at backend servers; empty if the
  // message carries no loads, which does not mean that there is no load.
  std::optional<std::map<BackendId, BackendLoad>> loads;
  // Demand on the sender by pool, tier and customer; empty if the message
  // carries none, which does not mean that there is none.
  std::optional<std::vector<DemandEntry>> demand;
  // Backend servers that the sender could not reach lately and that may be cold
  // when they return.
  std::vector<UnreachableServer> unreachable;
  // Backend servers that the sender has ejected.
  std::vector<EjectedServer> ejected;
  // Crashes of engines and the parts of prompts that they may be due to.
  std::vector<PartEvidence> part_evidence;
  // Heartbeats of other instances that the sender received lately; empty in
  // fleets in which a round reaches all instances.
  std::vector<RelayedHeartbeat> heartbeats;
  // Usage of the sender; empty if the message carries no usage.
  std::optional<UsageUpdate> usage_update;
  // Every usage window up to and including this one is sealed, as far as the
  // sender knows.
  WindowNumber usage_sealed_through;
  // Set in the response to a usage update that needs it.
  std::optional<UsageReceipt> usage_receipt;
};

// MessagePack encoding. Decoding fails with kInternal if the data is malformed.
std::vector<std::uint8_t> EncodeGossipMessage(const GossipMessage& message);
Result<GossipMessage> DecodeGossipMessage(const std::uint8_t* data,
                                          std::size_t size);

}  // namespace bamboomount

#endif  // GATEWAY_REPLICATION_GOSSIP_MESSAGE_H_
