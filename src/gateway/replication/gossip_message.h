#ifndef GATEWAY_REPLICATION_GOSSIP_MESSAGE_H_
#define GATEWAY_REPLICATION_GOSSIP_MESSAGE_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "gateway/duties/incarnation_usage.h"
#include "gateway/membership/member_registry.h"
#include "gateway/placement/backend_loads.h"
#include "gateway/placement/server_health.h"
#include "gateway/replication/replica_status.h"

namespace bamboomount {

// The tables of the store that every instance knows.
enum class SharedTable { kConfig, kBackends, kInstances };
inline constexpr std::size_t kSharedTableCount = 3;

// What the holder of the duty lease last said, as the sender of the message
// knows.
struct HolderStatement {
  InstanceId holder;
  FencingToken token;
  // How long ago the holder said that it holds the lease.
  Millis age{0};
};

// What lately began to run at the word of one incarnation.
struct UsageUpdate {
  Incarnation incarnation;
  IncarnationUsage usage;
};

// What one instance tells others several times a second.
struct GossipMessage {
  InstanceId instance;
  // Grows with each message, so that one that was overtaken is dropped.
  std::uint64_t sequence = 0;
  // In the order of SharedTable; a table that was not read yet has version 0.
  std::array<ReplicaStatus, kSharedTableCount> tables;
  MemberStatus member_status;
  // The store's steady clock when it came back from the last outage; 0 if there
  // was none.
  Millis store_recovery_time{0};
  std::optional<HolderStatement> holder_statement;
  // The requests that the sender has at backend servers; empty if the message
  // does not tell.
  std::optional<std::map<BackendId, BackendLoad>> loads;
  // Backend servers that the sender leaves out.
  std::vector<EjectedServer> ejected;
  // The sender's usage of the newest windows, so that little of it is lost with
  // its process; empty if the message does not tell.
  std::optional<UsageUpdate> usage_update;
};

// MessagePack. Decoding fails with kInternal.
std::vector<std::uint8_t> EncodeGossipMessage(const GossipMessage& message);
Result<GossipMessage> DecodeGossipMessage(const std::uint8_t* data,
                                          std::size_t size);

}  // namespace bamboomount

#endif  // GATEWAY_REPLICATION_GOSSIP_MESSAGE_H_
