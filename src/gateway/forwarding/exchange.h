#ifndef GATEWAY_FORWARDING_EXCHANGE_H_
#define GATEWAY_FORWARDING_EXCHANGE_H_

#include <memory>
#include <optional>
#include <string>

#include "gateway/forwarding/attempt_load.h"
#include "gateway/forwarding/backend_attempt.h"
#include "gateway/forwarding/caller_connection.h"
#include "gateway/forwarding/dispatcher.h"
#include "gateway/forwarding/request_admission.h"
#include "gateway/forwarding/response_relay.h"
#include "gateway/forwarding/retry_state.h"
#include "gateway/forwarding/server_search.h"
#include "gateway/forwarding/stream_binding.h"

namespace bamboomount {

// Serves one request of a caller: determines its route and customer, sends it
// to a backend server, retries at another server where the route allows it, and
// relays the response. The caller gets exactly one final response. Not
// thread-safe.
class Exchange : public AttemptObserver,
                 public ServerSearch::Observer,
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

  void OnServerFound(const BackendServer& server) override;
  void OnNoServer(std::string_view reason) override;
  void OnWoken() override;
  void OnPoisonousPrompt(Millis retry_after) override;

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
  // Returns false if the request was refused and the response sent.
  bool Admit();
  // Finds out where the resumed stream began, and refuses the request if that
  // is not known.
  void LocateStream();
  void OnStreamLocated(const std::optional<StreamOrigin>& origin);
  // Sends the request to a server of the pool.
  void BeginInPool(const PoolId& pool);
  // Refuses the request if the demand on the pool exceeds its capacity. Returns
  // whether it did.
  bool RefuseIfExcess(const Pool& pool);
  void FindServer();
  // Whether the probes of the servers must end before the next attempt, because
  // they decide whether it is sent to another instance.
  bool MustAwaitProbes();
  // The instance to send the request to while this one reaches no server. Empty
  // if the request may not be relayed or there is none.
  std::optional<BackendServer> FindRelay();
  void Relay(const BackendServer& instance);
  void BeginAttempt(const BackendServer& target);
  ServerSearchRequest SearchRequest() const;
  AttemptLoad::Request LoadRequest(const PrefixPlan& prefix) const;
  void ArmResponseTimer();
  // Ends the request without a complete response of a server.
  void GiveUp(std::string_view reason);
  void OnResponseTimeout();
  void OnCallerGone();

  // Whether the attempt is one at another instance, which accounts for it.
  bool IsRelaying() const { return attempt_ && !load_; }
  void OnRelayEnd(AttemptOutcome outcome);
  void OnRelayNotSent();
  void OnRelayRefused();
  void OnRelayInterrupted();
  void OnRelayComplete();

  void OnNotSent(ServerFailure failure);
  void OnInterrupted();
  void OnRefusedByServer();
  void OnComplete();
  bool TryAnotherServer();
  void FailWithoutResponse(std::string_view reason);

  void CountUsageOnce();
  void RecordFirstBytes();
  void ReleaseAttempt();
  // Ends the attempt because the server sends bytes that are no answer.
  void AbandonReply();
  void ResumeWhenDrained();

  // Completes a response of this instance's own and sends it.
  void SendOwnReply(http::response<http::string_body> response);
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
  CostQuery cost_;
  bool ended_ = false;
  bool usage_counted_ = false;

  StreamBinding stream_;
  ServerSearch search_;
  RetryState retries_;
  ResponseRelay relay_;
  // Set while an attempt is in progress.
  std::shared_ptr<BackendAttempt> attempt_;
  // Set while an attempt at a backend server is in progress.
  std::optional<AttemptLoad> load_;
  // "ip:port" of the engine from which the server copies the shared prefix of
  // the prompt; empty if it copies none.
  std::string copy_prefix_from_;
  bool keys_stale_ = false;

  asio::steady_timer deadline_timer_;
  asio::steady_timer response_timer_;
};

}  // namespace bamboomount

#endif  // GATEWAY_FORWARDING_EXCHANGE_H_
