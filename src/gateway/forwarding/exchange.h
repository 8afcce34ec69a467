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

// Serves one request of a caller: finds its route and customer, sends it to a
// backend server, to another one where that is allowed, and passes the answer
// on. The caller gets exactly one final answer.
class Exchange : public AttemptObserver,
                 public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(Dispatcher& dispatcher,
           IncomingRequest request,
           std::shared_ptr<CallerReply> reply);
  ~Exchange() override;
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

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
  // What happens to the body of the reply that is being read.
  enum class BodyMode {
    // Kept until it is complete; another server may still be asked.
    kBuffer,
    // Passed on as it comes.
    kForward,
    kDiscard,
  };

  // Returns false if the request got its final answer.
  bool Admit();

  void SelectBackend();
  // Whether it is more urgent than the least urgent requests.
  bool IsUrgent() const;
  PlacementRequest MakePlacementRequest() const;
  void SendTo(const BackendServer& server);
  void WaitForCapacity();
  void LeaveWaitQueue();
  void ArmResponseTimer();
  void OnDeadline();
  void OnResponseTimeout();
  void OnCallerGone();

  void OnNotSent(ServerFailure failure);
  void OnInterrupted();
  void OnRefusedByServer();
  void OnComplete();
  bool TryAnotherServer();
  void FailWithoutAnswer(std::string_view reason);

  void CountUsageOnce();
  void RecordFirstBytes();
  void RecordForwardTime();
  void ReleaseAttempt();
  bool Forward(std::string_view piece);
  void BeginForwarding();

  void Refuse(http::status status, std::string_view reason);
  void RefuseTemporarily(std::string_view reason);
  void EndRequest(std::string_view outcome);
  Millis TimeLeft(Instant now) const;

  Dispatcher& dispatcher_;
  IncomingRequest request_;
  std::shared_ptr<CallerReply> reply_;
  CallerHead head_;
  AdmittedRequest admitted_;
  PoolId pool_;
  // Null for plain services; kept alive by the policy.
  const EngineTraits* engine_ = nullptr;
  Instant deadline_;
  bool ended_ = false;
  bool usage_counted_ = false;

  std::shared_ptr<BackendAttempt> attempt_;
  AttemptHistory history_;
  std::vector<BackendId> tried_;
  // The engine that the server copies shared parts of the prompt from.
  std::string copy_prefix_from_;
  // What this request adds to the load of the server that it was sent to.
  RequestLoad load_;
  // Tokens that this request waits for at its server, its own among them.
  Tokens queued_tokens_;
  Instant sent_at_;
  bool generating_ = false;
  // When the last bytes of the answer were passed on, for the pauses between
  // them.
  Instant last_forwarded_at_;
  Millis time_to_first_bytes_{0};
  Millis longest_pause_{0};
  bool keys_stale_ = false;

  ReplyHead reply_head_;
  http::response_header<> reply_header_;
  std::optional<std::uint64_t> reply_length_;
  BodyMode body_mode_ = BodyMode::kBuffer;
  std::string buffered_body_;
  SseFramer framer_;

  std::optional<Dispatcher::WaitTicket> ticket_;
  asio::steady_timer deadline_timer_;
  asio::steady_timer step_timer_;
};

}  // namespace bamboomount

#endif  // GATEWAY_FORWARDING_EXCHANGE_H_
