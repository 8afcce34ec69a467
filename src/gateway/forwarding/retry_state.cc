#include "gateway/forwarding/retry_state.h"

namespace bamboomount {

void RetryState::RecordFailedConnect(const BackendId& server) {
  ++history_.failed_connects;
  tried_.push_back(server);
}

void RetryState::RecordRefusal(const BackendId& server) {
  ++history_.refusals;
  tried_.push_back(server);
}

void RetryState::RecordPossibleRun(const BackendId& server) {
  ++history_.possible_runs;
  tried_.push_back(server);
}

bool RetryState::TryRetry(const AdmittedRequest& request,
                          const PoolId& pool,
                          bool has_relay) {
  if (!MayRetry(*request.route, history_) ||
      (!has_relay &&
       dispatcher_.UntriedBackends(pool, tried_, request).empty()))
    return false;
  const bool reached_a_server = history_.possible_runs + history_.refusals > 0;
  return !reached_a_server || dispatcher_.TryConsumeRetry(pool);
}

bool RetryState::TryReplaceAttempt(const Route& route, const PoolId& pool) {
  AttemptHistory after = history_;
  ++after.possible_runs;
  return MayRetry(route, after) && dispatcher_.TryConsumeRetry(pool);
}

}  // namespace bamboomount
