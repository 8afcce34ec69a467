#include "entry_fixture/backend_standin.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace bamboomount::entry_test {
namespace {

using standin::HttpReply;
using standin::HttpRequest;

constexpr std::int64_t kPollMs = 5;
constexpr std::int64_t kPrefillMs = 50;
constexpr int kServiceUnavailable = 503;
constexpr int kMisdirected = 421;
constexpr int kEventsBeforeCut = 2;

void ReplaceAll(std::string& text,
                const std::string& placeholder,
                const std::string& value) {
  for (std::size_t at = text.find(placeholder); at != std::string::npos;
       at = text.find(placeholder, at + value.size()))
    text.replace(at, placeholder.size(), value);
}

std::string EventText(int number) {
  const std::string id = std::to_string(number);
  return "id: " + id + "\ndata: piece " + id + "\n\n";
}

}  // namespace

nlohmann::json BackendRow(const std::string& address, const std::string& pool) {
  return {{"service", pool}, {"address", address},
          {"zone", "z"},     {"version", "v1"},
          {"slots", 8},      {"state", "ready"},
          {"sequence", 1},   {"cold_remaining_ms", 0}};
}

bool HasPoisonPart(const HttpRequest& request) {
  return request.header("X-Bamboomount-Prompt-Prefix").find(kPoisonPart) !=
         std::string::npos;
}

BackendStandin::BackendStandin(std::string id, std::string version)
    : id_(std::move(id)),
      version_(std::move(version)),
      server_(
          [this](standin::Exchange& exchange) { return Handle(exchange); }) {}

std::string BackendStandin::RowValue(const std::string& pool,
                                     bool draining) const {
  nlohmann::json row = BackendRow(address(), pool);
  row["version"] = version_;
  if (draining)
    row["state"] = "draining";
  return row.dump();
}

int BackendStandin::ResumeCount() {
  int count = 0;
  for (const Arrival& arrival : Arrivals())
    count += arrival.request.header("Last-Event-Id").empty() ? 0 : 1;
  return count;
}

void BackendStandin::SetMode(BackendMode mode) {
  server_.Run([&] { mode_ = mode; });
}

void BackendStandin::SetScript(BackendScript script) {
  server_.Run([&] {
    mode_ = BackendMode::kScript;
    script_ = std::move(script);
  });
}

void BackendStandin::SetBrittleness(const Brittleness& brittleness) {
  server_.Run([&] {
    mode_ = BackendMode::kBrittle;
    brittleness_ = brittleness;
  });
}

BrittleRecord BackendStandin::brittle_record() {
  return server_.Run([&] { return brittle_record_; });
}

std::vector<HttpRequest> BackendStandin::ExecutedRequests() {
  std::vector<HttpRequest> ran;
  for (Arrival& arrival : Arrivals()) {
    if (arrival.ran)
      ran.push_back(std::move(arrival.request));
  }
  return ran;
}

std::vector<Arrival> BackendStandin::Arrivals() {
  return server_.Run([&] { return arrivals_; });
}

int BackendStandin::ArrivalCount() {
  return server_.Run([&] { return static_cast<int>(arrivals_.size()); });
}

int BackendStandin::AbandonedCount() {
  return server_.Run([&] { return abandoned_count_; });
}

HttpReply BackendStandin::MakeReply(const std::string& request_id) const {
  HttpReply reply;
  reply.headers = {{"X-Bamboomount-Request-Id", request_id},
                   {"X-Bamboomount-Response-Seal", "seal-" + request_id},
                   {"Keep-Alive", "timeout=5"}};
  reply.body = R"({"answer to":")" + request_id + R"("})";
  return reply;
}

boost::asio::awaitable<void> BackendStandin::Handle(
    standin::Exchange& exchange) {
  const HttpRequest request = exchange.request();
  const std::string request_id = request.header("X-Bamboomount-Request-Id");
  HttpReply reply = MakeReply(request_id);
  const bool addressed_here =
      request.header("X-Bamboomount-Expected-Instance") == id_ &&
      mode_ != BackendMode::kWrongServer;
  const bool runs = addressed_here && mode_ != BackendMode::kRefuse &&
                    mode_ != BackendMode::kRefuseWithRetryAfter;
  arrivals_.push_back({request, std::chrono::steady_clock::now(), runs});
  if (runs && mode_ == BackendMode::kBrittle) {
    co_await RunBrittle(exchange, std::move(reply));
    co_return;
  }
  if (!runs) {
    reply.status = addressed_here ? kServiceUnavailable : kMisdirected;
    reply.headers = {{"X-Bamboomount-Request-Id", request_id},
                     {"X-Bamboomount-Not-Executed", "1"}};
    if (mode_ == BackendMode::kRefuseWithRetryAfter)
      reply.headers.emplace_back("Retry-After", "1.5");
    co_await exchange.Reply(std::move(reply));
    co_return;
  }
  while (mode_ == BackendMode::kHold) {
    if (exchange.is_disconnected()) {
      ++abandoned_count_;
      co_return;
    }
    co_await exchange.Wait(kPollMs);
  }
  if (mode_ == BackendMode::kCrashOnPoisonPart && HasPoisonPart(request)) {
    co_await exchange.Wait(kPrefillMs);
    exchange.Close(true);
    co_return;
  }
  co_await Answer(exchange, std::move(reply));
}

boost::asio::awaitable<void> BackendStandin::RunBrittle(
    standin::Exchange& exchange,
    HttpReply reply) {
  const std::pair<std::string, std::string> statement{
      "Server-Brittle", std::to_string(brittleness_.max_rejections)};
  if (std::chrono::steady_clock::now() < fallen_until_) {
    exchange.Close(true);
    co_return;
  }
  if (running_ >= brittleness_.room) {
    if (RecordRejection()) {
      exchange.Close(true);
      co_return;
    }
    reply.status = kServiceUnavailable;
    reply.headers = {{"X-Bamboomount-Request-Id",
                      exchange.request().header("X-Bamboomount-Request-Id")},
                     {"X-Bamboomount-Not-Executed", "1"},
                     statement};
    co_await exchange.Reply(std::move(reply));
    co_return;
  }
  ++running_;
  co_await exchange.Wait(brittleness_.service_time.count());
  --running_;
  if (std::chrono::steady_clock::now() < fallen_until_) {
    exchange.Close(true);
    co_return;
  }
  ++brittle_record_.served;
  reply.headers.push_back(statement);
  co_await exchange.Reply(std::move(reply));
}

bool BackendStandin::RecordRejection() {
  const auto now = std::chrono::steady_clock::now();
  ++brittle_record_.rejected;
  rejections_.push_back(now);
  while (now - rejections_.front() >= std::chrono::seconds(1))
    rejections_.pop_front();
  const int count = static_cast<int>(rejections_.size());
  brittle_record_.most_rejected_in_one_second =
      std::max(brittle_record_.most_rejected_in_one_second, count);
  if (count <= brittleness_.max_rejections)
    return false;
  ++brittle_record_.falls;
  rejections_.clear();
  fallen_until_ = now + brittleness_.outage;
  return true;
}

boost::asio::awaitable<void> BackendStandin::Answer(standin::Exchange& exchange,
                                                    HttpReply reply) {
  const HttpRequest request = exchange.request();
  const std::string request_id = request.header("X-Bamboomount-Request-Id");
  const bool begins_stream = request.path().ends_with("stream") &&
                             request.header("Last-Event-Id").empty();
  standin::Faults faults;
  switch (mode_) {
    case BackendMode::kLoseReply:
      exchange.Close(false);
      co_return;
    case BackendMode::kTruncate:
      faults.close_after_tokens = 1;
      break;
    case BackendMode::kAnswerLeaving:
      reply.headers.emplace_back("Server-Leaving", "1");
      break;
    case BackendMode::kUntilClose:
    case BackendMode::kUntilCloseInEvent:
    case BackendMode::kUntilReset:
      co_await ReplyUntilClose(exchange, reply);
      co_return;
    case BackendMode::kScript:
      if (begins_stream)
        break;
      co_await RunScript(exchange);
      co_return;
    case BackendMode::kUnsealed:
      reply.headers = {{"X-Bamboomount-Request-Id", request_id}};
      break;
    case BackendMode::kMismatchedReplyFirst: {
      const HttpReply mismatched = MakeReply("another-request");
      co_await exchange.Reply(mismatched);
      break;
    }
    default:
      break;
  }
  if (request.path().ends_with("stream"))
    co_await Stream(exchange, std::move(reply));
  else
    co_await exchange.ReplyWithFaults(std::move(reply), faults);
}

boost::asio::awaitable<void> BackendStandin::ReplyUntilClose(
    standin::Exchange& exchange,
    const HttpReply& reply) {
  constexpr std::int64_t kPauseMs = 50;
  std::string head = "HTTP/1.1 200 OK\r\n";
  for (const auto& [name, value] : reply.headers)
    head.append(name).append(": ").append(value).append("\r\n");
  const bool is_stream = exchange.request().path().ends_with("stream");
  if (is_stream)
    head += "Content-Type: text/event-stream\r\n";
  std::string body = reply.body;
  if (is_stream) {
    const int events = mode_ == BackendMode::kUntilCloseInEvent
                           ? kEventsBeforeCut
                           : kStreamEvents;
    body.clear();
    for (int number = 1; number <= events; ++number)
      body += EventText(number);
  }
  if (mode_ == BackendMode::kUntilCloseInEvent)
    body += "id: 3\nda";
  const bool reset = mode_ == BackendMode::kUntilReset;
  co_await exchange.WriteRaw(head + "\r\n" + body);
  // The bytes must arrive before a reset, which discards them otherwise.
  co_await exchange.Wait(kPauseMs);
  exchange.Close(reset);
}

boost::asio::awaitable<void> BackendStandin::RunScript(
    standin::Exchange& exchange) {
  const auto id_of = [this](std::size_t from_end) {
    return arrivals_.size() < from_end
               ? std::string()
               : arrivals_[arrivals_.size() - from_end].request.header(
                     "X-Bamboomount-Request-Id");
  };
  const bool closes = script_.closes;
  std::string bytes = script_.reply;
  ReplaceAll(bytes, "{id}", id_of(1));
  ReplaceAll(bytes, "{previous}", id_of(2));
  co_await exchange.WriteRaw(std::move(bytes));
  if (closes)
    exchange.Close(false);
}

boost::asio::awaitable<void> BackendStandin::Stream(standin::Exchange& exchange,
                                                    HttpReply head) {
  const std::string last = exchange.request().header("Last-Event-Id");
  const int first = last.empty() ? 1 : std::stoi(last) + 1;
  head.content_type = "text/event-stream";
  co_await exchange.StartStream(std::move(head));
  for (int number = first; number <= kStreamEvents; ++number) {
    const std::string event = EventText(number);
    const bool cuts =
        mode_ == BackendMode::kCutInEvent || mode_ == BackendMode::kScript;
    if (cuts && number > kEventsBeforeCut) {
      const std::string half = event.substr(0, event.size() / 2);
      co_await exchange.WriteChunk(half);
      exchange.Close(false);
      co_return;
    }
    if (mode_ == BackendMode::kSilentInStream && number == kEventsBeforeCut + 1)
      co_await exchange.Wait(kSilence.count());
    co_await exchange.WriteChunk(event);
  }
  co_await exchange.EndStream();
}

}  // namespace bamboomount::entry_test
