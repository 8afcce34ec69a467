#ifndef GATEWAY_FORWARDING_EXCHANGE_H_
#define GATEWAY_FORWARDING_EXCHANGE_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gateway/forwarding/backend_attempt.h"
#include "gateway/forwarding/caller_connection.h"
#include "gateway/forwarding/dispatcher.h"
#include "gateway/forwarding/request_admission.h"
#include "gateway/forwarding/retry_rules.h"
#include "gateway/forwarding/sse_framer.h"

namespace bamboomount {

// Serves one request of a caller: determines its route and customer, sends it
// to a backend server, retries at another server where the route allows it, and
// forwards the response. The caller gets exactly one final response. Not
// thread-safe.
class Exchange : public AttemptObserver,
                 public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(Dispatcher& dispatcher,
           IncomingRequest request,
           std::shared_ptr<CallerReply> reply);
  ~Exchange() override;
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  // Serves the request; the object keeps itself alive until it has responded.
  void Start();

  std::optional<std::string> PrepareHead() override;
  const std::string& request_body() const override {
    return request_.message.body();
  }
  void OnReplyHead(const http::response_header<>& header,
                   const ReplyHead& head,
                   std::optional<std::uint64_t> content_length) override;
  bool OnReplyBody(std::string_view piece) override;
  void OnAttemptEnd(AttemptOutcome outcome) override;

 private:
  // What happens to the body of the response that is being read.
  enum class BodyMode {
    // Kept until the response is complete, so that another server can still be
    // tried.
    kBuffer,
    // Forwarded as it arrives.
    kForward,
    kDiscard,
  };

  // Returns false if the request was refused and the response sent.
  bool Admit();

  void SelectBackend();
  // Refuses the request if a part of its prompt crashes engines. Returns
  // whether it did.
  bool RefuseIfPoisonous(Instant now);
  bool HasRoomAtEngines() const;
  // Whether the request ranks above the lowest urgency level.
  bool IsUrgent() const;
  PlacementRequest MakePlacementRequest() const;
  void SendTo(const BackendServer& server);
  void WaitForCapacity();
  void LeaveWaitQueue();
  void ArmResponseTimer();
  void OnDeadline();
  void OnResponseTimeout();
  void OnCallerGone();

  // Applies what the head says of the server, whatever became of the request.
  void RecordServerSignals(const ReplyHead& head);
  void OnNotSent(ServerFailure failure);
  void OnInterrupted();
  void OnRefusedByServer();
  void OnComplete();
  bool TryAnotherServer();
  void FailWithoutResponse(std::string_view reason);

  void CountUsageOnce();
  void RecordFirstBytes();
  void RecordForwardTime();
  void RecordFirstTokenLatency(Instant now);
  void ReleaseAttempt();
  bool Forward(std::string_view piece);
  // Ends the attempt because the server sends bytes that are no answer. Returns
  // false, so that nothing more is read.
  bool AbandonReply();
  void BeginForwarding();

  void Refuse(http::status status, std::string_view reason);
  // Refuses with 503, so that the caller may retry after a random short time.
  void RefuseTemporarily(std::string_view reason);
  void RefuseTemporarily(std::string_view reason, Millis retry_after);
  void EndRequest(std::string_view outcome);
  // Empty if no route was found.
  std::string RouteName() const;
  Millis TimeLeft(Instant now) const;

  Dispatcher& dispatcher_;
  IncomingRequest request_;
  std::shared_ptr<CallerReply> reply_;
  CallerHead head_;
  AdmittedRequest admitted_;
  PoolId pool_;
  // Null for plain services; owned by the policy, which `admitted_` keeps
  // alive.
  const EngineTraits* engine_ = nullptr;
  Instant deadline_;
  bool ended_ = false;
  bool usage_counted_ = false;

  std::shared_ptr<BackendAttempt> attempt_;
  AttemptHistory history_;
  std::vector<BackendId> tried_;
  // "ip:port" of the engine from which the server copies the shared prefix of
  // the prompt; empty if it copies none.
  std::string copy_prefix_from_;
  // What this request adds to the load of the selected server.
  RequestLoad load_;
  // Pending prefill tokens at the selected server when the request was sent,
  // its own included; for urgent requests, only those of urgent ones.
  Tokens queued_tokens_;
  // Whether the selected engine had many requests when the request was sent.
  bool engine_is_busy_ = false;
  Instant sent_at_;
  bool generating_ = false;
  // When bytes of the response were last forwarded; the longest pause is
  // measured from it.
  Instant last_forwarded_at_;
  Millis time_to_first_bytes_{0};
  Millis longest_pause_{0};
  bool keys_stale_ = false;

  ReplyHead reply_head_;
  http::response_header<> reply_header_;
  std::optional<std::uint64_t> reply_length_;
  BodyMode body_mode_ = BodyMode::kBuffer;
  std::string buffered_body_;
  std::size_t discarded_bytes_ = 0;
  SseFramer framer_;

  std::optional<Dispatcher::WaitTicket> ticket_;
  asio::steady_timer deadline_timer_;
  asio::steady_timer step_timer_;
};

}  // namespace bamboomount

#endif  // GATEWAY_FORWARDING_EXCHANGE_H_
