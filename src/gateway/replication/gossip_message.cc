#include "gateway/replication/gossip_message.h"

#include <cmath>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "gateway/replication/msgpack_parser.h"

namespace bamboomount {
namespace {

using Json = nlohmann::json;

// Index in the status of a table.
constexpr std::size_t kEraIndex = 4;
// Indexes in a message.
constexpr std::size_t kPartEvidenceIndex = 13;
constexpr std::size_t kDemandIndex = 14;
constexpr std::size_t kUnreachableIndex = 15;
constexpr std::size_t kReachesServersIndex = 16;
// Demand is encoded as a whole number of millionths of a server.
constexpr double kDemandUnitsPerServer = 1e6;

// Encoded as arrays without field names: messages are frequent, and traffic
// between zones is charged by the byte.
Json EncodeTables(const GossipMessage& message) {
  Json tables = Json::array();
  for (const ReplicaStatus& table : message.tables)
    tables.push_back({table.revision.value(), table.position.version.value(),
                      table.confirmed.count(), table.digest,
                      table.position.era.value()});
  return tables;
}

Json EncodeHolder(const std::optional<HolderStatement>& holder) {
  if (!holder)
    return nullptr;
  return {holder->holder.value(), holder->token.value(), holder->age.count()};
}

Json EncodeLoads(const GossipMessage& message) {
  if (!message.loads)
    return nullptr;
  Json loads = Json::array();
  for (const auto& [server, load] : *message.loads)
    loads.push_back({server.value(), load.requests, load.pending_prefill_tokens,
                     load.urgent_prefill_tokens, load.generating,
                     load.long_answers});
  return loads;
}

// Pool, tier, customer and demand of each entry, as one flat array.
Json EncodeDemand(const GossipMessage& message) {
  if (!message.demand)
    return nullptr;
  Json demand = Json::array();
  for (const DemandEntry& entry : *message.demand) {
    demand.push_back(entry.pool.value());
    demand.push_back(entry.tier.value());
    demand.push_back(entry.customer.value());
    demand.push_back(static_cast<std::uint64_t>(
        std::llround(entry.servers * kDemandUnitsPerServer)));
  }
  return demand;
}

Json EncodeEjected(const GossipMessage& message) {
  Json ejected = Json::array();
  for (const EjectedServer& server : message.ejected)
    ejected.push_back({server.id.value(), server.remaining.count()});
  return ejected;
}

// Pairs of server and age in ms, as one flat array.
Json EncodeUnreachable(const GossipMessage& message) {
  Json unreachable = Json::array();
  for (const UnreachableServer& server : message.unreachable) {
    unreachable.push_back(server.id.value());
    unreachable.push_back(server.age.count());
  }
  return unreachable;
}

// Pairs of hash and age in ms, as one flat array.
Json EncodeHeartbeats(const GossipMessage& message) {
  Json heartbeats = Json::array();
  for (const RelayedHeartbeat& heartbeat : message.heartbeats) {
    heartbeats.push_back(heartbeat.instance_hash);
    heartbeats.push_back(heartbeat.age.count());
  }
  return heartbeats;
}

Json EncodeUsage(const GossipMessage& message) {
  if (!message.usage_update)
    return nullptr;
  Json windows = Json::array();
  for (const auto& [window, counts] : message.usage_update->usage.windows) {
    Json row = Json::array({window.value()});
    for (const auto& [customer, count] : counts) {
      row.push_back(customer.value());
      row.push_back(count);
    }
    windows.push_back(std::move(row));
  }
  return {message.usage_update->incarnation.value(),
          message.usage_update->usage.complete_through.value(),
          std::move(windows), message.usage_update->needs_receipt};
}

Json EncodeReceipt(const std::optional<UsageReceipt>& receipt) {
  if (!receipt)
    return nullptr;
  return {receipt->incarnation.value(), receipt->token.value(),
          receipt->complete_through.value()};
}

// For each part: its id, the age of the last served request or null, and pairs
// of server and age as one flat array.
Json EncodePartEvidence(const GossipMessage& message) {
  Json evidence = Json::array();
  for (const PartEvidence& part : message.part_evidence) {
    Json crashes = Json::array();
    for (const PartEvidence::Crash& crash : part.crashes) {
      crashes.push_back(crash.server.value());
      crashes.push_back(crash.age.count());
    }
    Json served_age = nullptr;
    if (part.served_age)
      served_age = part.served_age->count();
    evidence.push_back(
        {part.part.value(), std::move(served_age), std::move(crashes)});
  }
  return evidence;
}

Millis MillisOf(const Json& value) {
  return Millis(value.get<Millis::rep>());
}

ReplicaStatus DecodeTable(const Json& table) {
  // Absent in messages of earlier versions, which may run during an upgrade.
  const std::uint64_t era =
      table.size() > kEraIndex ? table.at(kEraIndex).get<std::uint64_t>() : 0;
  return {RowVersion(table.at(0).get<std::uint64_t>()),
          {StoreEra(era), RowVersion(table.at(1).get<std::uint64_t>())},
          MillisOf(table.at(2)),
          table.at(3).get<std::uint64_t>()};
}

std::optional<HolderStatement> DecodeHolder(const Json& holder) {
  if (holder.is_null())
    return std::nullopt;
  return HolderStatement{InstanceId(holder.at(0).get<std::string>()),
                         FencingToken(holder.at(1).get<std::uint64_t>()),
                         MillisOf(holder.at(2))};
}

std::optional<std::map<BackendId, BackendLoad>> DecodeLoads(const Json& loads) {
  if (loads.is_null())
    return std::nullopt;
  std::map<BackendId, BackendLoad> decoded;
  for (const Json& load : loads) {
    decoded[BackendId(load.at(0).get<std::string>())] = {
        load.at(1).get<int>(), load.at(2).get<std::int64_t>(),
        load.at(3).get<std::int64_t>(), load.at(4).get<int>(),
        load.at(5).get<int>()};
  }
  return decoded;
}

std::optional<std::vector<DemandEntry>> DecodeDemand(const Json& demand) {
  constexpr std::size_t kFields = 4;
  if (demand.is_null())
    return std::nullopt;
  std::vector<DemandEntry> decoded;
  for (std::size_t i = 0; i < demand.size(); i += kFields)
    decoded.push_back(
        {PoolId(demand.at(i).get<std::string>()),
         Tier(demand.at(i + 1).get<int>()),
         CustomerId(demand.at(i + 2).get<std::string>()),
         static_cast<double>(demand.at(i + 3).get<std::uint64_t>()) /
             kDemandUnitsPerServer});
  return decoded;
}

std::vector<UnreachableServer> DecodeUnreachable(const Json& unreachable) {
  std::vector<UnreachableServer> decoded;
  for (std::size_t i = 0; i < unreachable.size(); i += 2)
    decoded.push_back({BackendId(unreachable.at(i).get<std::string>()),
                       MillisOf(unreachable.at(i + 1))});
  return decoded;
}

std::optional<UsageUpdate> DecodeUsage(const Json& usage,
                                       const InstanceId& sender) {
  if (usage.is_null())
    return std::nullopt;
  UsageUpdate decoded;
  decoded.incarnation = Incarnation(usage.at(0).get<std::string>());
  decoded.usage.instance = sender;
  decoded.usage.complete_through =
      WindowNumber(usage.at(1).get<std::int64_t>());
  for (const Json& row : usage.at(2)) {
    UsageCounts& counts =
        decoded.usage.windows[WindowNumber(row.at(0).get<std::int64_t>())];
    for (std::size_t i = 1; i < row.size(); i += 2)
      counts[CustomerId(row.at(i).get<std::string>())] =
          row.at(i + 1).get<std::int64_t>();
  }
  decoded.needs_receipt = usage.at(3).get<bool>();
  return decoded;
}

std::optional<UsageReceipt> DecodeReceipt(const Json& receipt) {
  if (receipt.is_null())
    return std::nullopt;
  return UsageReceipt{Incarnation(receipt.at(0).get<std::string>()),
                      FencingToken(receipt.at(1).get<std::uint64_t>()),
                      WindowNumber(receipt.at(2).get<std::int64_t>())};
}

std::vector<PartEvidence> DecodePartEvidence(const Json& evidence) {
  std::vector<PartEvidence> decoded;
  for (const Json& part : evidence) {
    decoded.push_back(
        {PromptPartId(part.at(0).get<std::uint64_t>()), {}, std::nullopt});
    if (!part.at(1).is_null())
      decoded.back().served_age = MillisOf(part.at(1));
    const Json& crashes = part.at(2);
    for (std::size_t i = 0; i < crashes.size(); i += 2)
      decoded.back().crashes.push_back(
          {BackendId(crashes.at(i).get<std::string>()),
           MillisOf(crashes.at(i + 1))});
  }
  return decoded;
}

}  // namespace

std::vector<std::uint8_t> EncodeGossipMessage(const GossipMessage& message) {
  Json offset = nullptr;
  if (message.member_status.wall_offset)
    offset = message.member_status.wall_offset->count();
  return Json::to_msgpack(Json::array(
      {message.instance.value(), message.sequence, EncodeTables(message),
       std::move(offset), message.member_status.store_reachable,
       message.store_recovery_time.count(),
       EncodeHolder(message.holder_statement), EncodeLoads(message),
       EncodeEjected(message), EncodeUsage(message),
       message.usage_sealed_through.value(),
       EncodeReceipt(message.usage_receipt), EncodeHeartbeats(message),
       EncodePartEvidence(message), EncodeDemand(message),
       EncodeUnreachable(message), message.member_status.reaches_servers}));
}

Result<GossipMessage> DecodeGossipMessage(const std::uint8_t* data,
                                          std::size_t size) {
  try {
    const Json json = ParseMsgpack(data, size);
    GossipMessage message;
    message.instance = InstanceId(json.at(0).get<std::string>());
    message.sequence = json.at(1).get<std::uint64_t>();
    for (std::size_t i = 0; i < kSharedTableCount; ++i)
      message.tables[i] = DecodeTable(json.at(2).at(i));
    if (!json.at(3).is_null())
      message.member_status.wall_offset = MillisOf(json.at(3));
    message.member_status.store_reachable = json.at(4).get<bool>();
    message.store_recovery_time = MillisOf(json.at(5));
    message.holder_statement = DecodeHolder(json.at(6));
    message.loads = DecodeLoads(json.at(7));
    for (const Json& server : json.at(8))
      message.ejected.push_back(
          {BackendId(server.at(0).get<std::string>()), MillisOf(server.at(1))});
    message.usage_update = DecodeUsage(json.at(9), message.instance);
    message.usage_sealed_through =
        WindowNumber(json.at(10).get<std::int64_t>());
    message.usage_receipt = DecodeReceipt(json.at(11));
    const Json& heartbeats = json.at(12);
    for (std::size_t i = 0; i < heartbeats.size(); i += 2)
      message.heartbeats.push_back({heartbeats.at(i).get<std::uint32_t>(),
                                    MillisOf(heartbeats.at(i + 1))});
    // Absent in messages of earlier versions, which may run during an upgrade.
    if (json.size() > kPartEvidenceIndex)
      message.part_evidence = DecodePartEvidence(json.at(kPartEvidenceIndex));
    if (json.size() > kDemandIndex)
      message.demand = DecodeDemand(json.at(kDemandIndex));
    if (json.size() > kUnreachableIndex)
      message.unreachable = DecodeUnreachable(json.at(kUnreachableIndex));
    if (json.size() > kReachesServersIndex)
      message.member_status.reaches_servers =
          json.at(kReachesServersIndex).get<bool>();
    return message;
  } catch (const std::exception& error) {
    return Error{ErrorCode::kInternal,
                 RunVerdict::kNotRun,
                 std::string("malformed gossip message: ") + error.what(),
                 {}};
  }
}

}  // namespace bamboomount
