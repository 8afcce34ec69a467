#ifndef GATEWAY_FORWARDING_RETRY_STATE_H_
#define GATEWAY_FORWARDING_RETRY_STATE_H_

#include <vector>

#include "gateway/forwarding/dispatcher.h"
#include "gateway/forwarding/request_admission.h"
#include "gateway/forwarding/retry_rules.h"

namespace bamboomount {

// The attempts of one request so far, and whether it may be sent to another
// backend server. Not thread-safe.
class RetryState {
 public:
  explicit RetryState(Dispatcher& dispatcher) : dispatcher_(dispatcher) {}

  // Records an attempt that sent nothing because the server must not get new
  // requests now.
  void RecordNotSent(const BackendId& server) { tried_.push_back(server); }
  // Records an attempt that sent nothing because no connection could be set up.
  void RecordFailedConnect(const BackendId& server);
  // Records a refusal in which the server guarantees that the request did not
  // run.
  void RecordRefusal(const BackendId& server);
  // Records an attempt in which the server may have run the request.
  void RecordPossibleRun(const BackendId& server);
  void RecordReplyStarted() { history_.reply_started = true; }

  // Whether the request may be sent to another server of the pool, or to one of
  // the instances that relay if `has_relay`. If so, consumes a retry of the
  // pool's budget where one is needed.
  bool TryRetry(const AdmittedRequest& request,
                const PoolId& pool,
                bool has_relay);
  // Whether an attempt may be given up for a second one, as if the server had
  // run the request. Consumes a retry of the pool's budget if so.
  bool TryReplaceAttempt(const Route& route, const PoolId& pool);

  const AttemptHistory& history() const { return history_; }
  const std::vector<BackendId>& tried() const { return tried_; }

 private:
  Dispatcher& dispatcher_;
  AttemptHistory history_;
  std::vector<BackendId> tried_;
};

}  // namespace bamboomount

#endif  // GATEWAY_FORWARDING_RETRY_STATE_H_
