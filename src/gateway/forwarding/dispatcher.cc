#include "gateway/forwarding/dispatcher.h"

#include <algorithm>
#include <utility>

namespace bamboomount {
namespace {

// Part of a backend server's connections that all instances together use.
constexpr double kConnectionPart = 0.9;
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
      random_(std::random_device{}()) {}

std::vector<const BackendServer*> Dispatcher::Untried(
    const PoolId& pool,
    const std::vector<BackendId>& tried) const {
  std::vector<const BackendServer*> untried;
  for (const BackendServer* server : state_.backends().Usable(pool)) {
    if (std::find(tried.begin(), tried.end(), server->id) == tried.end())
      untried.push_back(server);
  }
  return untried;
}

std::vector<const BackendServer*> Dispatcher::WithRoom(
    std::vector<const BackendServer*> servers,
    const PoolId& pool) const {
  const int limit = ConnectionLimit(pool);
  std::erase_if(servers, [this, limit](const BackendServer* server) {
    return state_.loads().LocalRequests(server->id) >= limit;
  });
  return servers;
}

int Dispatcher::ConnectionLimit(const PoolId& pool) const {
  const Pool* rule =
      state_.policy() ? state_.policy()->FindPool(pool) : nullptr;
  if (!rule)
    return kMinConnections;
  const double part =
      rule->max_connections * kConnectionPart / state_.members().Count();
  return std::max(kMinConnections, static_cast<int>(part));
}

bool Dispatcher::TryRetry(const PoolId& pool) {
  return allowances_[pool].TrySpend(state_.settings().retry_limits,
                                    state_.members().Count(), BootClock::now());
}

void Dispatcher::CountRequest(const PoolId& pool) {
  allowances_[pool].AddRequest(BootClock::now());
}

Dispatcher::WaitTicket Dispatcher::Wait(const PoolId& pool,
                                        Tier tier,
                                        Wake wake) {
  const WaitTicket ticket{tier, next_ticket_++};
  waiting_[pool].emplace(ticket, std::move(wake));
  return ticket;
}

void Dispatcher::StopWaiting(const PoolId& pool, const WaitTicket& ticket) {
  const auto queue = waiting_.find(pool);
  if (queue == waiting_.end())
    return;
  queue->second.erase(ticket);
  if (queue->second.empty())
    waiting_.erase(queue);
}

void Dispatcher::WakeOne(const PoolId& pool) {
  const auto queue = waiting_.find(pool);
  if (queue == waiting_.end())
    return;
  const WaitTicket ticket = queue->second.begin()->first;
  const Wake wake = std::move(queue->second.begin()->second);
  StopWaiting(pool, ticket);
  wake();
}

void Dispatcher::WakeAll() {
  for (auto& [pool, queue] : std::exchange(waiting_, {})) {
    for (auto& [ticket, wake] : queue)
      wake();
  }
}

bool Dispatcher::SomeoneWaits(const PoolId& pool) const {
  return waiting_.contains(pool);
}

double Dispatcher::Random() {
  return std::uniform_real_distribution<double>(0, 1)(random_);
}

}  // namespace bamboomount
