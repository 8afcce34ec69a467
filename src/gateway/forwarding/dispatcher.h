#ifndef GATEWAY_FORWARDING_DISPATCHER_H_
#define GATEWAY_FORWARDING_DISPATCHER_H_

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "gateway/forwarding/backend_attempt.h"
#include "gateway/forwarding/request_admission.h"
#include "gateway/gateway_state.h"
#include "gateway/placement/concurrency_limit.h"
#include "gateway/placement/retry_budget_share.h"
#include "gateway/relay/server_reachability.h"
#include "gateway/streams/local_stream_origins.h"
#include "telemetry/metrics.h"

namespace bamboomount {

// State that all requests of one instance share: the gateway state, the
// connections to backend servers, the retry budgets, and the queues of requests
// that wait for capacity. Not thread-safe.
class Dispatcher {
 public:
  using WakeCallback = std::function<void()>;
  // Sort key of waiting requests: the tier first, then the order of arrival.
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
  // Knows whether this instance reaches backend servers at all.
  ServerReachability& reachability() { return reachability_; }

  // Usable backend servers of the pool that may run the request, are not in
  // `tried` and have not asked for a pause.
  std::vector<const BackendServer*> UntriedBackends(
      const PoolId& pool,
      const std::vector<BackendId>& tried,
      const AdmittedRequest& request) const;
  // Filters `servers` to those that this instance may send a request to now:
  // they have fewer requests of this instance than its connection limit, and
  // are neither too cold nor, if they are brittle, too full for another one.
  std::vector<const BackendServer*> WithCapacity(
      std::vector<const BackendServer*> servers,
      const PoolId& pool);
  // Records that a server of the pool could not be reached, or that the
  // connection broke before an answer began. It may be cold when it returns.
  void RecordUnreachable(const BackendId& server,
                         const PoolId& pool,
                         Instant now);
  // Whether the server may get a new request now: it is neither leaving nor has
  // asked for a pause.
  bool AcceptsRequests(const BackendId& server) const;
  // Knows where the streams that callers resume have begun; by default only
  // what this instance itself has seen.
  StreamOriginDirectory& stream_origins() { return *stream_origins_; }
  // `directory` must outlive this object.
  void SetStreamOrigins(StreamOriginDirectory& directory) {
    stream_origins_ = &directory;
  }
  // Sends the server no requests for `duration`, as it asked when it refused
  // one.
  void PauseBackend(const BackendId& server, Millis duration);
  // Consumes one retry from this instance's share of the pool's retry budget.
  // Returns false if the budget is exhausted.
  bool TryConsumeRetry(const PoolId& pool);
  // Counts a request of the pool for its retry budget.
  void CountRequest(const PoolId& pool);

  // Queues a request of the pool. `wake` is called at most once, after the
  // request has been removed from the queue.
  WaitTicket AddWaiter(const PoolId& pool, Tier tier, WakeCallback wake);
  // Removes a request from the queue. Does nothing if it is no longer queued.
  void RemoveWaiter(const PoolId& pool, const WaitTicket& ticket);
  // Removes all requests from the queues, so that none is woken any more.
  void ClearWaiters() { waiters_.clear(); }
  // Wakes the first waiting request of the pool. Called when capacity becomes
  // free.
  void WakeOne(const PoolId& pool);
  // Wakes all waiting requests. Called when the set of backend servers changes.
  void WakeAll();
  // Wakes the requests that wait because servers are cold. Called regularly.
  void WakeHeldBack();
  // Whether a request of the pool with a higher priority is queued.
  bool HasMoreUrgentWaiter(const PoolId& pool, Tier tier) const;
  // Limit on this instance's requests at the engines of the pool.
  ConcurrencyLimit& concurrency_limit(const PoolId& pool) {
    return concurrency_limits_[pool];
  }

  // Uniform in [0, 1).
  double Random();

 private:
  // Null if the configuration does not contain the pool.
  const Pool* FindPool(const PoolId& pool) const;
  int ConnectionLimit(const PoolId& pool) const;
  // Removes the brittle servers that might reject a request now, and has the
  // waiting requests woken soon if there are any.
  void RemoveFullBrittle(std::vector<const BackendServer*>& servers,
                         const PoolId& pool,
                         Instant now);

  asio::io_context& context_;
  const MessageProtocol& protocol_;
  GatewayState& state_;
  Metrics& metrics_;
  BackendConnectionPool connections_;
  LocalStreamOrigins local_stream_origins_{state_};
  StreamOriginDirectory* stream_origins_ = &local_stream_origins_;
  std::map<PoolId, RetryBudgetShare> retry_budgets_;
  std::map<PoolId, ConcurrencyLimit> concurrency_limits_;
  std::map<PoolId, std::map<WaitTicket, WakeCallback>> waiters_;
  std::uint64_t next_ticket_ = 0;
  // A request was kept from a cold server since the last WakeHeldBack().
  bool held_back_ = false;
  // One timer for each server that has asked for a pause; wakes the waiting
  // requests at its end.
  std::map<BackendId, asio::steady_timer> pause_timers_;
  asio::steady_timer recheck_timer_;
  bool recheck_armed_ = false;
  std::mt19937_64 random_;
  ServerReachability reachability_;
};

}  // namespace bamboomount

#endif  // GATEWAY_FORWARDING_DISPATCHER_H_
