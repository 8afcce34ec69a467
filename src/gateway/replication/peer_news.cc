#include "gateway/replication/peer_news.h"

#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace bamboomount {
namespace {

using Json = nlohmann::json;

// Arrays without names: news is sent often, and its bytes cost money between
// zones.
Json EncodeTables(const PeerNews& news) {
  Json tables = Json::array();
  for (const TableNews& table : news.tables)
    tables.push_back({table.revision.value(), table.position.value(),
                      table.confirmed.count(), table.digest});
  return tables;
}

Json EncodeHolder(const std::optional<HolderStatement>& holder) {
  if (!holder)
    return nullptr;
  return {holder->holder.value(), holder->token.value(), holder->age.count()};
}

Json EncodeLoads(const PeerNews& news) {
  if (!news.loads)
    return nullptr;
  Json loads = Json::array();
  for (const auto& [server, load] : *news.loads)
    loads.push_back({server.value(), load.requests, load.pending_prefill_tokens,
                     load.urgent_prefill_tokens, load.generating,
                     load.long_answers});
  return loads;
}

Json EncodeEjected(const PeerNews& news) {
  Json ejected = Json::array();
  for (const EjectedServer& server : news.ejected)
    ejected.push_back({server.id.value(), server.remaining.count()});
  return ejected;
}

Json EncodeUsage(const PeerNews& news) {
  if (!news.usage)
    return nullptr;
  Json windows = Json::array();
  for (const auto& [window, counts] : news.usage->part.windows) {
    Json row = Json::array({window.value()});
    for (const auto& [customer, count] : counts) {
      row.push_back(customer.value());
      row.push_back(count);
    }
    windows.push_back(std::move(row));
  }
  return {news.usage->incarnation.value(),
          news.usage->part.complete_through.value(), std::move(windows)};
}

Millis MillisOf(const Json& value) {
  return Millis(value.get<Millis::rep>());
}

TableNews DecodeTable(const Json& table) {
  return {RowVersion(table.at(0).get<std::uint64_t>()),
          RowVersion(table.at(1).get<std::uint64_t>()), MillisOf(table.at(2)),
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

std::optional<UsageStatement> DecodeUsage(const Json& usage,
                                          const InstanceId& sender) {
  if (usage.is_null())
    return std::nullopt;
  UsageStatement statement;
  statement.incarnation = Incarnation(usage.at(0).get<std::string>());
  statement.part.instance = sender;
  statement.part.complete_through =
      WindowNumber(usage.at(1).get<std::int64_t>());
  for (const Json& row : usage.at(2)) {
    UsageCounts& counts =
        statement.part.windows[WindowNumber(row.at(0).get<std::int64_t>())];
    for (std::size_t i = 1; i < row.size(); i += 2)
      counts[CustomerId(row.at(i).get<std::string>())] =
          row.at(i + 1).get<std::int64_t>();
  }
  return statement;
}

}  // namespace

std::vector<std::uint8_t> EncodePeerNews(const PeerNews& news) {
  Json offset = nullptr;
  if (news.signs.wall_offset)
    offset = news.signs.wall_offset->count();
  return Json::to_msgpack(
      Json::array({news.instance.value(), news.sequence, EncodeTables(news),
                   std::move(offset), news.signs.store_reachable,
                   news.store_back.count(), EncodeHolder(news.holder),
                   EncodeLoads(news), EncodeEjected(news), EncodeUsage(news)}));
}

Result<PeerNews> DecodePeerNews(const std::uint8_t* data, std::size_t size) {
  try {
    const Json json = Json::from_msgpack(data, data + size);
    PeerNews news;
    news.instance = InstanceId(json.at(0).get<std::string>());
    news.sequence = json.at(1).get<std::uint64_t>();
    for (std::size_t i = 0; i < kSharedTables; ++i)
      news.tables[i] = DecodeTable(json.at(2).at(i));
    if (!json.at(3).is_null())
      news.signs.wall_offset = MillisOf(json.at(3));
    news.signs.store_reachable = json.at(4).get<bool>();
    news.store_back = MillisOf(json.at(5));
    news.holder = DecodeHolder(json.at(6));
    news.loads = DecodeLoads(json.at(7));
    for (const Json& server : json.at(8))
      news.ejected.push_back(
          {BackendId(server.at(0).get<std::string>()), MillisOf(server.at(1))});
    news.usage = DecodeUsage(json.at(9), news.instance);
    return news;
  } catch (const std::exception& error) {
    return Error{ErrorCode::kInternal,
                 RunVerdict::kNotRun,
                 std::string("news cannot be read: ") + error.what(),
                 {}};
  }
}

}  // namespace bamboomount
