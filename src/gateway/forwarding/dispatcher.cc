#include "gateway/forwarding/dispatcher.h"

#include <algorithm>
#include <utility>

namespace bamboomount {
namespace {

// Fraction of a backend server's connection limit that all instances together
// may use.
constexpr double kConnectionFraction = 0.9;
// Longest pause that a backend server may ask for.
constexpr Millis kMaxPause{3'600'000};
// Requests that wait for room at brittle servers look for it this often,
// because nothing tells when other instances leave a slot.
constexpr Millis kBrittleRecheckInterval{30};
// Lower limit of an instance's share of the connections, however many instances
// there are.
constexpr int kMinConnections = 2;

}  // namespace

Dispatcher::Dispatcher(asio::io_context& context,
                       const MessageProtocol& protocol,
                       GatewayState& state,
                       Metrics& metrics)
    : context_(context),
      protocol_(protocol),
      state_(state),
      metrics_(metrics),
      recheck_timer_(context),
      random_(std::random_device{}()),
      reachability_(context, state, [this] { WakeAll(); }) {}

std::vector<const BackendServer*> Dispatcher::UntriedBackends(
    const PoolId& pool,
    const std::vector<BackendId>& tried,
    const AdmittedRequest& request) const {
  const Instant now = BootClock::now();
  std::vector<const BackendServer*> untried;
  for (const BackendServer* server : state_.backends().Usable(pool)) {
    if (!request.Permits(*server, state_.settings()))
      continue;
    if (state_.health().IsBackingOff(server->id, now) ||
        std::find(tried.begin(), tried.end(), server->id) != tried.end())
      continue;
    untried.push_back(server);
  }
  return untried;
}

bool Dispatcher::AcceptsRequests(const BackendId& server) const {
  return state_.backends().FindUsable(server) &&
         !state_.health().IsBackingOff(server, BootClock::now());
}

void Dispatcher::PauseBackend(const BackendId& server, Millis duration) {
  const Instant now = BootClock::now();
  const Instant end = state_.health().RecordRetryAfter(
      server, std::min(duration, kMaxPause), now);
  asio::steady_timer& timer =
      pause_timers_.try_emplace(server, context_).first->second;
  timer.expires_after(ToMillis(end - now));
  timer.async_wait([this, server](const error_code& error) {
    if (error)
      return;
    pause_timers_.erase(server);
    WakeAll();
  });
}

std::vector<const BackendServer*> Dispatcher::WithCapacity(
    std::vector<const BackendServer*> servers,
    const PoolId& pool) {
  const int limit = ConnectionLimit(pool);
  std::erase_if(servers, [this, limit](const BackendServer* server) {
    return state_.loads().LocalRequests(server->id) >= limit;
  });
  const Instant now = BootClock::now();
  RemoveFullBrittle(servers, pool, now);
  const Pool* rule = FindPool(pool);
  if (!rule || !rule->PacesColdServers())
    return servers;
  const auto held_back =
      std::erase_if(servers, [this, rule, now](const BackendServer* server) {
        return !state_.cold_pacer().MaySend(*server, *rule, now);
      });
  if (held_back > 0) {
    held_back_ = true;
    metrics_.Increment("bamboomount_cold_servers_left_out_total",
                       {{"pool", pool.value()}});
  }
  return servers;
}

void Dispatcher::RemoveFullBrittle(std::vector<const BackendServer*>& servers,
                                   const PoolId& pool,
                                   Instant now) {
  const auto removed =
      std::erase_if(servers, [this, now](const BackendServer* server) {
        return !state_.brittle_servers().MaySend(*server, now);
      });
  if (removed == 0)
    return;
  metrics_.Increment("bamboomount_brittle_servers_left_out_total",
                     {{"pool", pool.value()}});
  if (std::exchange(recheck_armed_, true))
    return;
  recheck_timer_.expires_after(kBrittleRecheckInterval);
  recheck_timer_.async_wait([this](const error_code& error) {
    // The timer is cancelled only with this object.
    if (error)
      return;
    recheck_armed_ = false;
    WakeAll();
  });
}

void Dispatcher::RecordUnreachable(const BackendId& server,
                                   const PoolId& pool,
                                   Instant now) {
  const Pool* rule = FindPool(pool);
  if (rule && rule->PacesColdServers())
    state_.cold_pacer().RecordUnreachable(server, now);
}

const Pool* Dispatcher::FindPool(const PoolId& pool) const {
  return state_.policy() ? state_.policy()->FindPool(pool) : nullptr;
}

int Dispatcher::ConnectionLimit(const PoolId& pool) const {
  const Pool* rule = FindPool(pool);
  if (!rule)
    return kMinConnections;
  const double limit =
      rule->max_connections * kConnectionFraction / state_.members().Count();
  return std::max(kMinConnections, static_cast<int>(limit));
}

bool Dispatcher::TryConsumeRetry(const PoolId& pool) {
  return retry_budgets_[pool].TrySpend(state_.settings().retry_limits,
                                       state_.members().Count(),
                                       BootClock::now());
}

void Dispatcher::CountRequest(const PoolId& pool) {
  retry_budgets_[pool].AddRequest(BootClock::now());
}

Dispatcher::WaitTicket Dispatcher::AddWaiter(const PoolId& pool,
                                             Tier tier,
                                             WakeCallback wake) {
  const WaitTicket ticket{tier, next_ticket_++};
  waiters_[pool].emplace(ticket, std::move(wake));
  return ticket;
}

void Dispatcher::RemoveWaiter(const PoolId& pool, const WaitTicket& ticket) {
  const auto queue = waiters_.find(pool);
  if (queue == waiters_.end())
    return;
  queue->second.erase(ticket);
  if (queue->second.empty())
    waiters_.erase(queue);
}

void Dispatcher::WakeOne(const PoolId& pool) {
  const auto queue = waiters_.find(pool);
  if (queue == waiters_.end())
    return;
  const WaitTicket ticket = queue->second.begin()->first;
  const WakeCallback wake = std::move(queue->second.begin()->second);
  RemoveWaiter(pool, ticket);
  wake();
}

void Dispatcher::WakeAll() {
  for (auto& [pool, queue] : std::exchange(waiters_, {})) {
    for (auto& [ticket, wake] : queue)
      wake();
  }
}

void Dispatcher::WakeHeldBack() {
  if (std::exchange(held_back_, false))
    WakeAll();
}

bool Dispatcher::HasMoreUrgentWaiter(const PoolId& pool, Tier tier) const {
  const auto queue = waiters_.find(pool);
  return queue != waiters_.end() && queue->second.begin()->first.first < tier;
}

double Dispatcher::Random() {
  return std::uniform_real_distribution<double>(0, 1)(random_);
}

}  // namespace bamboomount
