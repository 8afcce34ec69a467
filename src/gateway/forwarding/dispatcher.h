#ifndef GATEWAY_FORWARDING_DISPATCHER_H_
#define GATEWAY_FORWARDING_DISPATCHER_H_

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "gateway/forwarding/backend_attempt.h"
#include "gateway/gateway_state.h"
#include "gateway/placement/retry_budget_share.h"
#include "telemetry/metrics.h"

namespace bamboomount {

// What the requests of one instance share: the state, the connections, the
// allowances for retries, and the order in which requests wait for room.
class Dispatcher {
 public:
  using WakeCallback = std::function<void()>;
  // Order in which waiting requests are woken: the tier, then the arrival.
  using WaitTicket = std::pair<Tier, std::uint64_t>;

  Dispatcher(asio::io_context& context,
             const MessageProtocol& protocol,
             GatewayState& state,
             Metrics& metrics);

  asio::io_context& context() { return context_; }
  const MessageProtocol& protocol() const { return protocol_; }
  GatewayState& state() { return state_; }
  Metrics& metrics() { return metrics_; }
  AttemptEnvironment environment() {
    return {context_, protocol_, connections_};
  }
  BackendConnectionPool& connections() { return connections_; }

  // Usable backend servers of the pool that are not in `tried`.
  std::vector<const BackendServer*> UntriedBackends(
      const PoolId& pool,
      const std::vector<BackendId>& tried) const;
  // Those of `servers` that this instance may send another request to now.
  std::vector<const BackendServer*> BelowConnectionLimit(
      std::vector<const BackendServer*> servers,
      const PoolId& pool) const;
  // Takes one retry for the pool from this instance's part of the bound.
  bool TryConsumeRetry(const PoolId& pool);
  void CountRequest(const PoolId& pool);

  WaitTicket AddWaiter(const PoolId& pool, Tier tier, WakeCallback wake);
  void RemoveWaiter(const PoolId& pool, const WaitTicket& ticket);
  // Room has become free at the pool.
  void WakeOne(const PoolId& pool);
  // The backend servers changed.
  void WakeAll();
  bool HasWaiters(const PoolId& pool) const;

  // Uniform in [0, 1).
  double Random();

 private:
  int ConnectionLimit(const PoolId& pool) const;

  asio::io_context& context_;
  const MessageProtocol& protocol_;
  GatewayState& state_;
  Metrics& metrics_;
  BackendConnectionPool connections_;
  std::map<PoolId, RetryBudgetShare> retry_budgets_;
  std::map<PoolId, std::map<WaitTicket, WakeCallback>> waiters_;
  std::uint64_t next_ticket_ = 0;
  std::mt19937_64 random_;
};

}  // namespace bamboomount

#endif  // GATEWAY_FORWARDING_DISPATCHER_H_
