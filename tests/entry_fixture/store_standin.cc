#include "entry_fixture/store_standin.h"

#include <algorithm>
#include <array>

#include "platform/base64.h"

namespace bamboomount::entry_test {
namespace {

using nlohmann::json;
using standin::HttpReply;
using standin::HttpRequest;

constexpr std::int64_t kPollMs = 5;
// Tables that the operator and the backend servers write.
constexpr std::array kForeignTables = {"op", "servers"};

}  // namespace

StoreStandin::StoreStandin()
    : server_(
          [this](standin::Exchange& exchange) { return Handle(exchange); }) {}

void StoreStandin::Put(const std::string& table,
                       const std::string& key,
                       const std::string& value) {
  server_.Run([&] { Write({table, key}, value, false); });
}

void StoreStandin::PutInPart(const std::string& table,
                             const std::string& part,
                             const std::string& key,
                             const std::string& value) {
  Put(table, part + kPartEnd + key, value);
}

void StoreStandin::Remove(const std::string& table, const std::string& key) {
  server_.Run([&] { Write({table, key}, "", true); });
}

std::string StoreStandin::Get(const std::string& table,
                              const std::string& key) {
  return Table(table)[key];
}

std::map<std::string, std::string> StoreStandin::Table(
    const std::string& table) {
  return server_.Run([&] {
    std::map<std::string, std::string> values;
    for (const auto& [key, row] : rows_) {
      if (key.first == table && !row.deleted)
        values[key.second] = row.value;
    }
    return values;
  });
}

void StoreStandin::SetMode(StoreMode mode) {
  server_.Run([&] { mode_ = mode; });
}

void StoreStandin::LoseCommitResponses(int count) {
  server_.Run([&] { commit_responses_to_lose_ = count; });
}

void StoreStandin::DiscardHistory() {
  server_.Run([&] { oldest_change_ = ++version_; });
}

void StoreStandin::TakeCopy() {
  server_.Run([&] { copy_ = {rows_, version_}; });
}

void StoreStandin::RestoreCopy(LostRows lost_rows) {
  server_.Run([&] {
    const std::map<Key, Row> before = std::move(rows_);
    rows_ = copy_.rows;
    version_ = copy_.version;
    ++era_;
    for (const auto& [key, row] : before) {
      const bool foreign =
          std::find(kForeignTables.begin(), kForeignTables.end(), key.first) !=
          kForeignTables.end();
      if (foreign && row.version > copy_.version)
        lost_rows_[key] = row;
    }
    if (lost_rows == LostRows::kWrittenAgain)
      WriteLostRows();
  });
}

void StoreStandin::WriteLostRowsAgain() {
  server_.Run([&] { WriteLostRows(); });
}

void StoreStandin::AdvanceVersion(int count) {
  server_.Run([&] { version_ += static_cast<std::uint64_t>(count); });
}

std::map<std::int64_t, json> StoreStandin::LatestUsageCounts() {
  std::map<std::int64_t, json> counts;
  for (const UsageReport& report : UsageReports())
    counts[report.window] = report.counts;
  return counts;
}

std::vector<UsageReport> StoreStandin::UsageReports() {
  return server_.Run([&] { return reports_; });
}

int StoreStandin::calls() {
  return server_.Run([&] { return call_count_; });
}

HttpReply StoreStandin::JsonReply(int status, const json& body) const {
  HttpReply reply;
  reply.status = status;
  reply.headers = {{"Store-Era", std::to_string(era_)}};
  reply.body = body.dump();
  return reply;
}

bool StoreStandin::LacksHistorySince(std::uint64_t version) const {
  return version < oldest_change_ || version > version_;
}

boost::asio::awaitable<void> StoreStandin::Handle(standin::Exchange& exchange) {
  ++call_count_;
  if (mode_ == StoreMode::kRefusing) {
    const HttpReply refusal = JsonReply(503, json::object());
    co_await exchange.Reply(refusal);
    co_return;
  }
  if (mode_ == StoreMode::kClosing) {
    exchange.Close(true);
    co_return;
  }
  while (mode_ == StoreMode::kSilent && !exchange.is_disconnected())
    co_await exchange.Wait(kPollMs);
  const std::string path = exchange.request().path();
  if (path == "/bamboomount/rows-feed") {
    co_await ReadChanges(exchange);
    co_return;
  }
  HttpReply reply;
  if (path == "/bamboomount/rows-get") {
    reply = ReadTable(exchange.request());
  } else if (path == "/bamboomount/rows-tx") {
    reply = Commit(exchange.request());
    if (commit_responses_to_lose_ > 0) {
      --commit_responses_to_lose_;
      exchange.Close(false);
      co_return;
    }
  } else if (path == "/usage") {
    AcceptUsage(exchange.request());
  } else if (path != "/scaling") {
    reply.status = 404;
  }
  co_await exchange.Reply(std::move(reply));
}

boost::asio::awaitable<void> StoreStandin::ReadChanges(
    standin::Exchange& exchange) {
  const HttpRequest request = exchange.request();
  const std::uint64_t after = std::stoull(request.query("after"));
  const auto until =
      std::chrono::steady_clock::now() +
      std::chrono::milliseconds(std::stoll(request.query("wait_ms")));
  while (true) {
    if (mode_ != StoreMode::kUp) {
      exchange.Close(true);
      co_return;
    }
    if (LacksHistorySince(after)) {
      const HttpReply gone = JsonReply(410, json::object());
      co_await exchange.Reply(gone);
      co_return;
    }
    std::vector<std::pair<std::uint64_t, json>> changes;
    for (const auto& [key, row] : rows_) {
      if (key.first == request.query("table") && row.version > after)
        changes.emplace_back(row.version, RowJson(key, row));
    }
    const bool timed_out = std::chrono::steady_clock::now() >= until;
    if (!changes.empty() || timed_out) {
      std::sort(changes.begin(), changes.end(),
                [](const auto& a, const auto& b) { return a.first < b.first; });
      json body = ResponseMetadata();
      body["rows"] = json::array();
      for (const auto& [version, row] : changes)
        body["rows"].push_back(row);
      const HttpReply reply = JsonReply(200, body);
      co_await exchange.Reply(reply);
      co_return;
    }
    if (exchange.is_disconnected())
      co_return;
    co_await exchange.Wait(kPollMs);
  }
}

HttpReply StoreStandin::ReadTable(const HttpRequest& request) {
  json body = ResponseMetadata();
  body["rows"] = json::array();
  body["has_more"] = false;
  for (const auto& [key, row] : rows_) {
    const json listed = RowJson(key, row);
    if (key.first == request.query("table") &&
        listed["part"] == request.query("part") && !row.deleted)
      body["rows"].push_back(listed);
  }
  return JsonReply(200, body);
}

HttpReply StoreStandin::Commit(const HttpRequest& request) {
  const json call = json::parse(request.body);
  json body = ResponseMetadata();
  for (const json& condition : call.at("expected_revision")) {
    if (ConditionHolds(condition))
      continue;
    body["rows"] = json::array();
    return JsonReply(412, body);
  }
  for (const json& write : call.at("writes")) {
    Write({write.at("table"), write.at("key")},
          DecodeBase64(write.at("value")).value(), false);
  }
  for (const json& removal : call.at("remove"))
    Write({removal.at("table"), removal.at("key")}, "", true);
  body["schema_version"] = version_;
  return JsonReply(200, body);
}

json StoreStandin::ResponseMetadata() const {
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::steady_clock::now() - start_);
  return {{"schema_version", version_}, {"now_ms", now.count()}};
}

json StoreStandin::RowJson(const Key& key, const Row& row) {
  const std::size_t part_end = key.second.find(kPartEnd);
  const bool has_part = part_end != std::string::npos;
  return {{"table", key.first},
          {"part", has_part ? key.second.substr(0, part_end) : ""},
          {"key", has_part ? key.second.substr(part_end + 1) : key.second},
          {"value", EncodeBase64(row.value)},
          {"schema_version", row.version},
          {"deleted", row.deleted}};
}

bool StoreStandin::ConditionHolds(const json& condition) const {
  const auto row = rows_.find({condition.at("table"), condition.at("key")});
  const std::uint64_t version =
      row == rows_.end() || row->second.deleted ? 0 : row->second.version;
  return version == condition.at("schema_version").get<std::uint64_t>();
}

void StoreStandin::AcceptUsage(const HttpRequest& request) {
  const json report = json::parse(request.body);
  reports_.push_back({request.header("X-Bamboomount-Duty-Holder"),
                      std::stoll(request.header("X-Bamboomount-Fencing-Token")),
                      report.at("window_number"), report.at("counts"),
                      std::chrono::steady_clock::now()});
}

void StoreStandin::Write(const Key& key,
                         const std::string& value,
                         bool deleted) {
  rows_[key] = {value, ++version_, deleted};
}

void StoreStandin::WriteLostRows() {
  for (const auto& [key, row] : std::exchange(lost_rows_, {}))
    Write(key, row.value, row.deleted);
}

}  // namespace bamboomount::entry_test
