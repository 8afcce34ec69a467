#include "gateway/replication/peer_rows.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>
#include <vector>

#include "gateway/events.h"
#include "gateway/forwarding/request_target.h"
#include "gateway/replication/compression.h"
#include "gateway/replication/msgpack_parser.h"
#include "telemetry/log.h"

namespace bamboomount {
namespace {

using Json = nlohmann::json;

constexpr char kPath[] = "/peer/rows";
constexpr unsigned kOk = 200;
// After this time, the rows are fetched from another instance or the store.
constexpr Millis kTimeout{400};
// Bound on the rows of a response, before compression.
constexpr std::size_t kMaxRowsBytes = 33'554'432;

Json Parse(const std::string& bytes) {
  return ParseMsgpack(reinterpret_cast<const std::uint8_t*>(bytes.data()),
                      bytes.size());
}

// Empty if the text does not begin with a number.
std::optional<std::uint64_t> ParseNumber(const std::string& text) {
  std::uint64_t number = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (parsed.ec != std::errc())
    return std::nullopt;
  return number;
}

std::vector<std::uint8_t> CompressRows(const std::vector<TableRow>& rows) {
  Json list = Json::array();
  for (const TableRow& row : rows) {
    Json value = row.deleted ? Json(nullptr) : Json(row.value);
    list.push_back({row.key, row.version.value(), std::move(value)});
  }
  const auto text = Json::to_msgpack(list);
  const std::string frame = Compress(std::string_view(
      reinterpret_cast<const char*>(text.data()), text.size()));
  return {frame.begin(), frame.end()};
}

std::vector<TableRow> DecodeRowList(const std::string& table,
                                    const Json& list) {
  std::vector<TableRow> rows;
  for (const Json& item : list) {
    TableRow row{table, item.at(0).get<std::string>(), "",
                 RowVersion(item.at(1).get<std::uint64_t>()),
                 item.at(2).is_null()};
    if (!row.deleted)
      row.value = item.at(2).get<std::string>();
    rows.push_back(std::move(row));
  }
  return rows;
}

}  // namespace

std::string EncodePeerRowsTarget(const PeerRowsQuery& query) {
  return std::string(kPath) + "?table=" + query.table +
         "&after=" + std::to_string(query.after.version.value()) +
         "&era=" + std::to_string(query.after.era.value());
}

std::optional<PeerRowsQuery> DecodePeerRowsTarget(const std::string& target) {
  if (PathOf(target) != kPath)
    return std::nullopt;
  const auto version = ParseNumber(QueryValue(target, "after"));
  if (!version)
    return std::nullopt;
  // Absent in queries of earlier versions, which may run during an upgrade.
  const auto era = ParseNumber(QueryValue(target, "era"));
  return PeerRowsQuery{QueryValue(target, "table"),
                       {StoreEra(era.value_or(0)), RowVersion(*version)}};
}

std::string PeerRowsEncoder::Encode(const PeerRowsQuery& query,
                                    const PeerRows& rows) {
  CompressedRows& last = last_by_table_[query.table];
  const StoreEra era = rows.status.position.era;
  const bool reusable = !last.bytes.empty() && last.after == query.after &&
                        last.era == era &&
                        last.revision == rows.status.revision &&
                        last.is_snapshot == rows.is_snapshot;
  if (!reusable)
    last = {query.after, era, rows.status.revision, rows.is_snapshot,
            CompressRows(rows.rows)};
  const Json body{{"whole", rows.is_snapshot},
                  {"rows", Json::binary(last.bytes)},
                  {"revision", rows.status.revision.value()},
                  {"position", rows.status.position.version.value()},
                  {"era", era.value()},
                  {"confirmed_ms", rows.status.confirmed.count()}};
  const auto bytes = Json::to_msgpack(body);
  return {bytes.begin(), bytes.end()};
}

Result<PeerRows> DecodePeerRows(const std::string& table,
                                const std::string& body) {
  try {
    const Json json = Parse(body);
    PeerRows rows;
    rows.is_snapshot = json.at("whole").get<bool>();
    rows.status.revision = RowVersion(json.at("revision").get<std::uint64_t>());
    // Responses of earlier versions have no era.
    rows.status.position = {
        StoreEra(json.value("era", std::uint64_t{0})),
        RowVersion(json.at("position").get<std::uint64_t>())};
    rows.status.confirmed = Millis(json.at("confirmed_ms").get<Millis::rep>());
    const Json::binary_t& frame = json.at("rows").get_binary();
    BOOST_OUTCOME_TRY(
        list,
        Decompress(std::string_view(reinterpret_cast<const char*>(frame.data()),
                                    frame.size()),
                   kMaxRowsBytes));
    rows.rows = DecodeRowList(table, Parse(list));
    return rows;
  } catch (const std::exception& error) {
    return Error{ErrorCode::kInternal,
                 RunVerdict::kNotRun,
                 std::string("malformed rows from a peer: ") + error.what(),
                 {}};
  }
}

void PeerRowsClient::Fetch(const std::string& address,
                           const PeerRowsQuery& query,
                           Callback done) {
  channels_.push_back(std::make_unique<HttpChannel>(context_, address));
  const auto channel = std::prev(channels_.end());
  HttpCall call;
  call.target = EncodePeerRowsTarget(query);
  call.timeout = kTimeout;
  call.connect_timeout = kTimeout;
  (*channel)->Call(
      std::move(call), [this, channel, address, table = query.table,
                        done = std::move(done)](const HttpResponse& response) {
        // Deferred, because the channel is still running this callback.
        asio::post(context_, [this, channel] { channels_.erase(channel); });
        std::optional<PeerRows> received;
        std::string failure = response.failure;
        if (response.status == kOk) {
          auto rows = DecodePeerRows(table, response.body);
          if (rows)
            received = std::move(rows.value());
          else
            failure = rows.error().message;
        }
        if (!received)
          Log(gateway_events::kPeerRowsFailed,
              {{"peer", address},
               {"table", table},
               {"status", std::to_string(response.status)},
               {"cause", failure},
               {"received_bytes", std::to_string(response.received_bytes)},
               {"elapsed_ms",
                std::to_string(
                    ToMillis(BootClock::now() - response.sent).count())}});
        done(std::move(received));
      });
}

}  // namespace bamboomount
