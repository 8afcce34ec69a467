#include "router/internal/request_handler.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "router/internal/chat_exchange.h"
#include "router/internal/error_reply.h"
#include "router/internal/service_exchange.h"
#include "router/internal/span_recorder.h"

namespace bamboomount {
namespace {

using Json = nlohmann::ordered_json;

constexpr std::size_t kRequestIdBytes = 12;

// Removes a request from the running ones at the end of its handler.
class RunningRequestScope {
 public:
  RunningRequestScope(RunningRequests& running,
                      std::shared_ptr<RunningRequest> request)
      : running_(running), request_(std::move(request)) {}
  ~RunningRequestScope() { running_.Remove(*request_); }
  RunningRequestScope(const RunningRequestScope&) = delete;
  RunningRequestScope& operator=(const RunningRequestScope&) = delete;

 private:
  RunningRequests& running_;
  std::shared_ptr<RunningRequest> request_;
};

BufferedReply JsonReply(const Json& json) {
  BufferedReply reply;
  reply.body = json.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
  return reply;
}

BufferedReply HealthReply(const InstanceId& instance) {
  return JsonReply({{"status", "ok"}, {"instance", instance.value()}});
}

BufferedReply InstancesReply(const std::vector<InstanceAddress>& addresses,
                             Millis time_to_live) {
  Json instances = Json::array();
  for (const InstanceAddress& entry : addresses) {
    instances.push_back({{"instance", entry.instance.value()},
                         {"zone", entry.zone.value()},
                         {"address", entry.address}});
  }
  const auto seconds =
      std::chrono::duration_cast<std::chrono::seconds>(time_to_live).count();
  return JsonReply({{"ttl_s", seconds}, {"instances", std::move(instances)}});
}

BufferedReply ModelsReply(const ServiceConfig& config) {
  Json models = Json::array();
  for (const PoolRule& pool : config.pools) {
    if (pool.kind != PoolKind::kModel)
      continue;
    models.push_back({{"id", pool.model}, {"object", "model"}});
  }
  return JsonReply({{"object", "list"}, {"data", std::move(models)}});
}

}  // namespace

const RequestHandler::FixedRoute RequestHandler::kFixedRoutes[] = {
    {http::verb::get, "/healthz", &RequestHandler::ReplyHealth},
    {http::verb::get, "/v1/instances", &RequestHandler::ReplyInstances},
    {http::verb::get, "/v1/models", &RequestHandler::ReplyModels},
    {http::verb::post, "/v1/chat/completions", &RequestHandler::HandleChat},
};

RequestHandler::RequestHandler(HandlerContext& context)
    : context_(context),
      authenticator_(context.dependencies.state,
                     context.dependencies.is_fresh) {}

asio::awaitable<void> RequestHandler::Handle(HttpRequest& http,
                                             CallerReply& reply) {
  CallerRequest request = MakeCallerRequest(http);
  const std::string parent = request.Header("traceparent");
  const auto caller_trace = TraceContext::Parse(parent);
  SpanRecorder span(context_.dependencies.spans, request.trace,
                    caller_trace ? caller_trace->span_id : "", "request",
                    context_.options.instance.value());
  span.SetAttribute("request", request.id.value())
      .SetAttribute("path", request.path);
  const Handler handler = FindHandler(request);
  co_await (this->*handler)(request, reply);
  if (request.identity)
    span.SetAttribute("customer", request.identity->customer.value());
  span.Finish();
}

CallerRequest RequestHandler::MakeCallerRequest(HttpRequest& http) const {
  CallerRequest request;
  request.arrival = std::chrono::steady_clock::now();
  request.id = RequestId(context_.options.instance.value() + "-" +
                         RandomHex(kRequestIdBytes));
  const std::string target(http.target());
  const std::size_t question_mark = target.find('?');
  request.path = target.substr(0, question_mark);
  if (question_mark != std::string::npos)
    request.query = target.substr(question_mark + 1);
  request.http = std::move(http);
  const auto parent = TraceContext::Parse(request.Header("traceparent"));
  request.trace = parent ? parent->NewChild() : TraceContext::NewRoot();
  return request;
}

RequestHandler::Handler RequestHandler::FindHandler(
    const CallerRequest& request) const {
  for (const FixedRoute& route : kFixedRoutes) {
    if (route.path != request.path || route.method != request.http.method())
      continue;
    return route.handler;
  }
  return &RequestHandler::HandleService;
}

asio::awaitable<void> RequestHandler::ReplyHealth(CallerRequest& /*request*/,
                                                  CallerReply& reply) {
  const BufferedReply health = HealthReply(context_.options.instance);
  co_await reply.Send(health);
}

asio::awaitable<void> RequestHandler::ReplyInstances(CallerRequest& /*request*/,
                                                     CallerReply& reply) {
  const BufferedReply instances = InstancesReply(
      context_.dependencies.addresses(),
      AddressTimeToLive(*context_.dependencies.state.current()->config));
  co_await reply.Send(instances);
}

asio::awaitable<void> RequestHandler::ReplyModels(CallerRequest& request,
                                                  CallerReply& reply) {
  const bool authenticated = co_await Authenticate(request, reply);
  if (!authenticated)
    co_return;
  const BufferedReply models =
      ModelsReply(*context_.dependencies.state.current()->config);
  co_await reply.Send(models);
}

asio::awaitable<void> RequestHandler::HandleChat(CallerRequest& request,
                                                 CallerReply& reply) {
  const bool authenticated = co_await Authenticate(request, reply);
  if (!authenticated)
    co_return;
  auto plan =
      MakeChatPlan(request, context_.dependencies.state.current()->config);
  if (!plan) {
    const BufferedReply refusal = ErrorReply(plan.error());
    co_await reply.Send(refusal);
    co_return;
  }
  const auto running = co_await RegisterRunningRequest(request);
  const RunningRequestScope scope(context_.running, running);
  reply.CancelOnDisconnect(running);
  ChatExchange exchange(context_, request, *running, reply,
                        std::move(plan).value());
  co_await exchange.Run();
}

asio::awaitable<void> RequestHandler::HandleService(CallerRequest& request,
                                                    CallerReply& reply) {
  const auto config = context_.dependencies.state.current()->config;
  const RouteRule* route = config->FindRoute(request.path);
  const PoolRule* pool =
      route == nullptr ? nullptr : config->FindPool(route->pool);
  if (pool == nullptr || pool->kind != PoolKind::kService) {
    const BufferedReply unknown = ErrorReply({ErrorCode::kUnknownRoute,
                                              RunVerdict::kNotRun,
                                              "no service at this path",
                                              {}});
    co_await reply.Send(unknown);
    co_return;
  }
  if (route->open) {
    // An open route ignores the key, but must not pass it on either.
    const auto placement = authenticator_.CheckKeyPlacement(request.http);
    if (!placement) {
      const BufferedReply refusal = ErrorReply(placement.error());
      co_await reply.Send(refusal);
      co_return;
    }
  } else {
    const bool authenticated = co_await Authenticate(request, reply);
    if (!authenticated)
      co_return;
  }
  const auto running = co_await RegisterRunningRequest(request);
  const RunningRequestScope scope(context_.running, running);
  // A call that must not be repeated goes on without its caller, so that its
  // answer is kept for the caller's next try.
  if (route->repeatable)
    reply.CancelOnDisconnect(running);
  ServiceExchange exchange(context_, request, *running, reply, config, *route);
  co_await exchange.Run();
}

asio::awaitable<bool> RequestHandler::Authenticate(CallerRequest& request,
                                                   CallerReply& reply) {
  auto identity = authenticator_.Authenticate(request.http);
  if (identity) {
    request.identity = std::move(identity).value();
    co_return true;
  }
  const BufferedReply refusal = ErrorReply(identity.error());
  co_await reply.Send(refusal);
  co_return false;
}

asio::awaitable<std::shared_ptr<RunningRequest>>
RequestHandler::RegisterRunningRequest(const CallerRequest& request) {
  const auto executor = co_await asio::this_coro::executor;
  std::optional<KeyId> key;
  if (request.identity)
    key = request.identity->key;
  auto running = std::make_shared<RunningRequest>(executor, request.id, key);
  context_.running.Add(running);
  // The key may have been withdrawn between the check and the registration.
  if (key) {
    auto identity = authenticator_.Authenticate(request.http);
    if (!identity)
      running->Cancel(identity.error());
  }
  co_return running;
}

}  // namespace bamboomount
