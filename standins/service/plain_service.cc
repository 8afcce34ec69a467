#include "service/plain_service.h"

#include "support/json_text.h"

namespace standin {
namespace {

// How often a frozen request checks whether the freeze was cleared.
constexpr std::int64_t kFreezePollIntervalMs = 10;

HttpReply ExecutionReply(const std::string& request_id,
                         const std::string& target,
                         const std::string& body,
                         std::int64_t number) {
  HttpReply reply;
  reply.headers.emplace_back("X-Request-Id", request_id);
  reply.body = ToText({{"target", target},
                       {"request_id", request_id},
                       {"body", body},
                       {"execution", number}});
  return reply;
}

}  // namespace

boost::asio::awaitable<void> PlainService::Handle(Exchange& exchange) {
  const HttpRequest& request = exchange.request();
  const std::string path = request.path();
  HttpReply reply;
  if (path == "/faults" && request.method == "POST") {
    reply = SetFaults(request);
  } else if (path == "/executed") {
    reply.body = ExecutedJson();
  } else if (path == "/seen") {
    reply.body = seen_.ToJson();
  } else if (path == "/load") {
    reply.body = ToText({{"running", 0},
                         {"waiting", 0},
                         {"slots", 64},
                         {"tokens_per_second", 0},
                         {"leaving", faults_.current().leaving},
                         {"age_ms", 0}});
  } else {
    co_await Execute(exchange);
    co_return;
  }
  co_await exchange.Reply(std::move(reply));
}

boost::asio::awaitable<void> PlainService::Execute(Exchange& exchange) {
  const HttpRequest& request = exchange.request();
  seen_.Add(request);
  const Faults faults = faults_.Take();
  const std::string request_id = request.header("X-Request-Id");
  if (faults.refuse) {
    HttpReply reply;
    reply.status = 503;
    reply.headers.emplace_back("X-Request-Id", request_id);
    reply.body = R"({"error":{"message":"refused by a fault switch"}})";
    co_await exchange.Reply(std::move(reply));
    co_return;
  }
  const std::int64_t wait =
      faults.delay_ms + work_ms_ * faults_.current().slow_factor;
  if (wait > 0) {
    co_await exchange.Wait(wait);
  }
  co_await WaitWhileFrozen(exchange);
  const std::int64_t number = static_cast<std::int64_t>(executed_.size()) + 1;
  executed_.push_back(
      {number, request.method, request.target, request_id, request.body});
  HttpReply reply =
      ExecutionReply(request_id, request.target, request.body, number);
  if (faults.cross_answers && number > 1) {
    const Execution& previous = executed_[executed_.size() - 2];
    reply = ExecutionReply(previous.request_id, previous.target, previous.body,
                           previous.number);
  }
  co_await exchange.ReplyWithFaults(std::move(reply), faults);
}

boost::asio::awaitable<void> PlainService::WaitWhileFrozen(Exchange& exchange) {
  while (faults_.current().freeze) {
    co_await exchange.Wait(kFreezePollIntervalMs);
  }
}

HttpReply PlainService::SetFaults(const HttpRequest& request) {
  HttpReply reply;
  const std::string error = faults_.Set(request.body);
  reply.status = error.empty() ? 200 : 400;
  reply.body = ToText({{"error", error}});
  return reply;
}

std::string PlainService::ExecutedJson() const {
  nlohmann::json list = nlohmann::json::array();
  for (const Execution& execution : executed_) {
    list.push_back({{"number", execution.number},
                    {"method", execution.method},
                    {"target", execution.target},
                    {"request_id", execution.request_id},
                    {"body", execution.body}});
  }
  return ToText({{"executed", list}});
}

}  // namespace standin
