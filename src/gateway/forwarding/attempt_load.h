#ifndef GATEWAY_FORWARDING_ATTEMPT_LOAD_H_
#define GATEWAY_FORWARDING_ATTEMPT_LOAD_H_

#include "gateway/forwarding/dispatcher.h"
#include "gateway/forwarding/request_admission.h"
#include "gateway/traffic/pool.h"

namespace bamboomount {

// Accounts for one attempt at a backend server: its load on the server and
// what its latency says of the server and the pool. Release() must be called
// when the attempt ends; the destructor does not remove the load, because the
// dispatcher is gone when the process ends. Not thread-safe.
class AttemptLoad {
 public:
  // The request that is sent, and what the accounting needs to know of it.
  struct Request {
    PoolId pool;
    // Null for plain services.
    const EngineTraits* engine = nullptr;
    Tier priority;
    // Whether the request ranks above the lowest urgency level.
    bool urgent = false;
    Millis target_latency{0};
    RequestLoad load;
  };

  AttemptLoad(Dispatcher& dispatcher,
              const BackendServer& server,
              Request request,
              Instant now);
  AttemptLoad(const AttemptLoad&) = delete;
  AttemptLoad& operator=(const AttemptLoad&) = delete;

  Instant sent_at() const { return sent_at_; }
  // Whether the server had more requests than slots, this one included, when
  // the request was sent.
  bool server_was_full() const { return server_was_full_; }
  // Whether the server has begun to send its answer.
  bool generating() const { return generating_; }

  // Records the head of the answer, which says whether the server took the
  // request.
  void RecordHead(const ReplyHead& head, Instant now);
  // Records that the first bytes of the answer arrived. Only the first call has
  // an effect; returns whether it was this one.
  bool RecordFirstBytes(Instant now);
  // Records that a response without a streamed body is complete.
  void RecordComplete(Instant now);
  // Removes the load. Must be called at most once.
  void Release(Instant now);

 private:
  void RecordFirstTokenLatency(Instant now);

  Dispatcher& dispatcher_;
  const BackendId server_;
  const Request request_;
  const Instant sent_at_;
  // Prompt tokens that wait at the server when the request is sent, its own
  // included; for urgent requests, only those of urgent ones.
  Tokens queued_tokens_;
  // Whether the engine has many requests when the request is sent.
  bool engine_is_busy_ = false;
  bool server_was_full_ = false;
  bool generating_ = false;
  // Whether the server took the request.
  bool accepted_ = false;
};

}  // namespace bamboomount

#endif  // GATEWAY_FORWARDING_ATTEMPT_LOAD_H_
