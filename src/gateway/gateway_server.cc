#include "gateway/gateway_server.h"

#include <algorithm>
#include <utility>

#include "gateway/admission_rules.h"
#include "gateway/events.h"
#include "gateway/forwarding/exchange.h"
#include "telemetry/log.h"

namespace bamboomount {
namespace {

constexpr unsigned kHttp11 = 11;
constexpr Millis kMaintenanceInterval = GatewayState::kMaxPause / 2;
// The most addresses in one response.
constexpr std::size_t kMaxAddresses = 64;
constexpr Millis kAddressLifetime{2000};
// Fractions of the memory limit that callers may make the process hold before
// requests are refused, and before connections are closed.
constexpr double kScarceMemoryFraction = 0.3;
constexpr double kMaxMemoryFraction = 0.4;
// Memory limit if the settings give none.
constexpr std::uint64_t kDefaultMemoryBytes = 112'000'000;
// Descriptors for the store, the log, other instances and the like.
constexpr std::size_t kReservedDescriptors = 64;
// Parts of the remaining descriptors. Requests need one for the caller and one
// for a backend server.
constexpr std::size_t kCallerDescriptorDivisor = 2;
constexpr std::size_t kOtherDescriptorDivisor = 32;
// Other instances may relay as many requests as they cannot serve themselves.
constexpr std::size_t kPeerDescriptorDivisor = 8;
// At most one log line about memory in this time.
constexpr Millis kMemoryReportInterval{5000};
// Retry-After of requests that are refused during a shutdown. Short, because
// the caller can retry at another instance at once.
constexpr Millis kShutdownRetryAfter{50};

http::response<http::string_body> TextReply(http::status status,
                                            const char* type,
                                            std::string body) {
  http::response<http::string_body> response(status, kHttp11);
  if (!body.empty())
    response.set(http::field::content_type, type);
  response.body() = std::move(body);
  return response;
}

void LogPoisonPart(const PoisonPart& part) {
  std::string servers;
  for (const BackendId& server : part.crashed_servers)
    servers += (servers.empty() ? "" : " ") + server.value();
  Log(gateway_events::kPoisonPartFound,
      {{"part", std::to_string(part.id.value())}, {"backends", servers}});
}

std::size_t BytesOf(const InstanceSettings& settings, double fraction) {
  const std::uint64_t memory =
      settings.memory_bytes == 0 ? kDefaultMemoryBytes : settings.memory_bytes;
  return static_cast<std::size_t>(static_cast<double>(memory) * fraction);
}

std::size_t MaxConnections(const InstanceSettings& settings,
                           std::size_t divisor) {
  const std::size_t files = settings.max_open_files;
  const std::size_t usable = files - std::min(files, kReservedDescriptors);
  return std::max<std::size_t>(1, usable / divisor);
}

const char* NameOf(MemoryState state) {
  switch (state) {
    case MemoryState::kNormal:
      return "normal";
    case MemoryState::kScarce:
      return "scarce";
    case MemoryState::kExhausted:
      return "exhausted";
  }
  return "";
}

std::string TargetOf(const IncomingRequest& request) {
  return std::string(request.message.target());
}

}  // namespace

GatewayServer::GatewayServer(Dispatcher& dispatcher,
                             const DiscoveryProtocol& discovery,
                             PeerRequestHandler peer_request_handler)
    : dispatcher_(dispatcher),
      discovery_(discovery),
      peer_request_handler_(std::move(peer_request_handler)),
      memory_(std::make_shared<MemoryBudget>(
          BytesOf(dispatcher.state().settings(), kScarceMemoryFraction),
          BytesOf(dispatcher.state().settings(), kMaxMemoryFraction))),
      maintenance_timer_(dispatcher.context()) {}

GatewayServer::~GatewayServer() = default;

ConnectionListener& GatewayServer::AddListener(
    ConnectionListener::Options options,
    ConnectionListener::Handler handler) {
  ConnectionListenerOwner& owner = *this;
  listeners_.push_back(std::make_unique<ConnectionListener>(
      dispatcher_.context(), owner, std::move(options), std::move(handler)));
  return *listeners_.back();
}

void GatewayServer::Listen() {
  const InstanceSettings& settings = dispatcher_.state().settings();
  const std::size_t caller_connections =
      MaxConnections(settings, kCallerDescriptorDivisor);
  const std::size_t other_connections =
      MaxConnections(settings, kOtherDescriptorDivisor);
  caller_listener_ = &AddListener(
      {settings.caller_address, caller_connections, true},
      [this](IncomingRequest request, std::shared_ptr<CallerReply> reply) {
        ServeCaller(std::move(request), std::move(reply));
      });
  const ConnectionListener& readiness =
      AddListener({settings.readiness_address, other_connections},
                  [this](const IncomingRequest& request,
                         const std::shared_ptr<CallerReply>& reply) {
                    ServeReadiness(request, *reply);
                  });
  const ConnectionListener& directory =
      AddListener({settings.directory_address, other_connections},
                  [this](const IncomingRequest& request,
                         const std::shared_ptr<CallerReply>& reply) {
                    ServeAddresses(request, *reply);
                  });
  if (!settings.peer_address.empty()) {
    peer_listener_ = &AddListener(
        {settings.peer_address,
         MaxConnections(settings, kPeerDescriptorDivisor)},
        [this](IncomingRequest request, std::shared_ptr<CallerReply> reply) {
          ServePeer(std::move(request), std::move(reply));
        });
    dispatcher_.state().SetPeerAddress(peer_listener_->address());
  }
  if (!settings.metrics_address.empty()) {
    AddListener({settings.metrics_address, other_connections},
                [this](const IncomingRequest&,
                       const std::shared_ptr<CallerReply>& reply) {
                  ServeMetrics(*reply);
                });
  }
  dispatcher_.state().SetCallerAddress(caller_listener_->address());
  Log(gateway_events::kStarted, {{"callers", caller_listener_->address()},
                                 {"readiness", readiness.address()},
                                 {"directory", directory.address()},
                                 {"zone", settings.zone.value()}});
  RunMaintenance();
}

void GatewayServer::ServeCaller(IncomingRequest request,
                                std::shared_ptr<CallerReply> reply) {
  if (RefusesNewRequests()) {
    auto refusal =
        TextReply(http::status::service_unavailable, "text/plain", "");
    refusal.set(http::field::retry_after, FormatSeconds(kShutdownRetryAfter));
    Log(gateway_events::kRequestRefused,
        {{"status", "503"}, {"reason", "the instance is shutting down"}});
    reply->Send(std::move(refusal));
    return;
  }
  std::make_shared<Exchange>(dispatcher_, std::move(request), std::move(reply))
      ->Start();
}

void GatewayServer::ServeReadiness(const IncomingRequest& request,
                                   CallerReply& reply) {
  if (!discovery_.IsReadinessProbe(TargetOf(request))) {
    reply.Send(TextReply(http::status::not_found, "text/plain", ""));
    return;
  }
  const bool ready = dispatcher_.state().IsReady() && !shutting_down();
  reply.Send(
      TextReply(ready ? http::status::ok : http::status::service_unavailable,
                "text/plain", ""));
}

void GatewayServer::ServeAddresses(const IncomingRequest& request,
                                   CallerReply& reply) {
  const auto query = discovery_.DecodeAddressQuery(TargetOf(request));
  if (!query) {
    reply.Send(TextReply(http::status::not_found, "text/plain", ""));
    return;
  }
  const InstanceSettings& settings = dispatcher_.state().settings();
  AddressList address_list;
  const auto& policy = dispatcher_.state().policy();
  const RegionLimit regions =
      policy ? policy->RegionsOf(query->host) : RegionLimit();
  address_list.addresses = dispatcher_.state().members().AddressesFor(
      query->zone, query->region, regions, kMaxAddresses, BootClock::now());
  // Before the first heartbeats arrive, this instance knows only itself.
  const bool in_reach =
      settings.region == query->region || regions.Allows(settings.region);
  if (address_list.addresses.empty() && in_reach &&
      dispatcher_.state().IsReady() && !shutting_down())
    address_list.addresses.push_back(settings.caller_address);
  if (address_list.addresses.empty()) {
    reply.Send(TextReply(http::status::service_unavailable, "text/plain", ""));
    return;
  }
  address_list.lifetime =
      std::min(kAddressLifetime, settings.max_address_lifetime);
  reply.Send(TextReply(http::status::ok, "application/json",
                       discovery_.EncodeAddresses(address_list)));
}

void GatewayServer::ServePeer(IncomingRequest request,
                              std::shared_ptr<CallerReply> reply) {
  if (dispatcher_.protocol().IsRelayed(request.message)) {
    ServeRelayed(std::move(request), std::move(reply));
    return;
  }
  auto body = peer_request_handler_(TargetOf(request));
  if (body)
    reply->Send(
        TextReply(http::status::ok, "application/msgpack", std::move(*body)));
  else
    reply->Send(TextReply(http::status::not_found, "text/plain", ""));
}

void GatewayServer::ServeRelayed(IncomingRequest request,
                                 std::shared_ptr<CallerReply> reply) {
  request.relayed = true;
  if (!RefusesNewRequests() && memory_->state() == MemoryState::kNormal) {
    std::make_shared<Exchange>(dispatcher_, std::move(request),
                               std::move(reply))
        ->Start();
    return;
  }
  auto refusal = TextReply(http::status::service_unavailable, "text/plain", "");
  const auto head = dispatcher_.protocol().DecodeCallerHead(request.message);
  if (head)
    dispatcher_.protocol().EncodeOwnReply(head.value().id, true, refusal);
  reply->Send(std::move(refusal));
}

bool GatewayServer::RefusesNewRequests() const {
  return shutdown_started_ &&
         BootClock::now() - *shutdown_started_ >= Schedule().accept_period;
}

bool GatewayServer::IsBusy() const {
  return caller_listener_->IsBusy() ||
         (peer_listener_ && peer_listener_->IsBusy());
}

void GatewayServer::ServeMetrics(CallerReply& reply) {
  reply.Send(TextReply(http::status::ok, "text/plain; version=0.0.4",
                       dispatcher_.metrics().ToPrometheusText()));
}

void GatewayServer::RunMaintenance() {
  const Instant now = BootClock::now();
  for (const auto& listener : listeners_)
    listener->CheckTimeouts(now);
  ReportMemory(now);
  dispatcher_.connections().CloseExpired(now);
  dispatcher_.state().ExpireBackends(now);
  dispatcher_.state().members().Expire(now);
  dispatcher_.state().cold_pacer().Expire(now);
  dispatcher_.state().brittle_servers().Expire(now);
  dispatcher_.state().RecordRunning(now);
  dispatcher_.WakeHeldBack();
  for (const PoisonPart& part : dispatcher_.state().poison_parts().Update(now))
    LogPoisonPart(part);
  if (shutdown_started_)
    ContinueShutdown(now);
  maintenance_timer_.expires_after(kMaintenanceInterval);
  maintenance_timer_.async_wait([this](const error_code& error) {
    if (!error)
      RunMaintenance();
  });
}

void GatewayServer::BeginShutdown(std::function<void()> done) {
  if (shutdown_started_)
    return;
  shutdown_started_ = BootClock::now();
  on_shutdown_done_ = std::move(done);
}

void GatewayServer::ContinueShutdown(Instant now) {
  const Millis elapsed = ToMillis(now - *shutdown_started_);
  const ShutdownSchedule schedule = Schedule();
  if (elapsed < schedule.accept_period)
    return;
  caller_listener_->StopAccepting();
  caller_listener_->CloseIdle();
  const bool over = elapsed > schedule.end_of_requests;
  if (over)
    EndRequests();
  if ((!IsBusy() || over) && on_shutdown_done_)
    std::exchange(on_shutdown_done_, nullptr)();
}

void GatewayServer::EndRequests() {
  // A request that ends makes room at its server. No other one may use it now.
  dispatcher_.ClearWaiters();
  for (const ConnectionListener* listener :
       {caller_listener_, peer_listener_}) {
    if (!listener)
      continue;
    for (const auto& connection : listener->connections())
      connection->EndRequest();
  }
}

ShutdownSchedule GatewayServer::Schedule() const {
  return ShutdownSchedule::For(dispatcher_.state().settings().stop_deadline);
}

void GatewayServer::OnMemoryCharged() {
  if (relief_scheduled_ || memory_->state() != MemoryState::kExhausted)
    return;
  relief_scheduled_ = true;
  // Not at once, because the connection that was charged may be the one to
  // close.
  asio::post(dispatcher_.context(), [this] {
    relief_scheduled_ = false;
    RelieveMemory();
  });
}

void GatewayServer::RelieveMemory() {
  if (memory_->state() != MemoryState::kExhausted)
    return;
  std::vector<std::shared_ptr<CallerConnection>> connections;
  std::vector<ConnectionLoad> loads;
  for (const auto& connection : caller_listener_->connections()) {
    connections.push_back(connection);
    loads.push_back(connection->load());
  }
  const auto closed = SelectConnectionsToClose(loads, memory_->excess_bytes());
  for (const std::size_t index : closed)
    connections[index]->Close();
  connections.clear();
  caller_listener_->EraseClosed();
  CountClosedConnections("memory", closed.size());
}

void GatewayServer::CountClosedConnections(const char* cause,
                                           std::size_t count) {
  dispatcher_.metrics().Increment("bamboomount_connections_shed_total",
                                  {{"cause", cause}},
                                  static_cast<double>(count));
}

void GatewayServer::ReportMemory(Instant now) {
  const double used = static_cast<double>(memory_->used_bytes());
  const std::size_t connections = caller_listener_->connections().size();
  dispatcher_.metrics().SetGauge("bamboomount_caller_memory_bytes", {}, used);
  dispatcher_.metrics().SetGauge("bamboomount_caller_connections", {},
                                 static_cast<double>(connections));
  if (last_report_ && now - *last_report_ < kMemoryReportInterval)
    return;
  const MemoryState state = memory_->TakeWorstState();
  if (state == reported_state_)
    return;
  reported_state_ = state;
  last_report_ = now;
  Log(gateway_events::kMemoryStateChanged,
      {{"state", NameOf(state)},
       {"used_bytes", std::to_string(memory_->used_bytes())},
       {"limit_bytes", std::to_string(memory_->limit_bytes())},
       {"connections", std::to_string(connections)}});
}

CallerLimits GatewayServer::limits() const {
  const auto& policy = dispatcher_.state().policy();
  return policy ? policy->limits() : CallerLimits();
}

}  // namespace bamboomount
