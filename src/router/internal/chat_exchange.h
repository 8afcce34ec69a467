#ifndef ROUTER_INTERNAL_CHAT_EXCHANGE_H_
#define ROUTER_INTERNAL_CHAT_EXCHANGE_H_

#include <optional>
#include <string>
#include <vector>

#include "router/internal/backend_call.h"
#include "router/internal/caller_reply.h"
#include "router/internal/caller_request.h"
#include "router/internal/chat_plan.h"
#include "router/internal/handler_context.h"

namespace bamboomount {

// Serves one chat request: acquires slots, sends the request to backend servers
// and forwards the response to the caller. A broken stream is resumed at
// another engine of the same version after the last token that was sent to the
// caller. It is not resumed if its engine stated no version.
class ChatExchange {
 public:
  ChatExchange(HandlerContext& context,
               CallerRequest& request,
               RunningRequest& running,
               CallerReply& reply,
               ChatPlan plan);

  // Runs until the caller has the complete response or an error, or has
  // disconnected.
  asio::awaitable<void> Run();

 private:
  asio::awaitable<Result<Slot>> AcquireSlot(int attempt);
  asio::awaitable<Result<void>> RunAttempt(const Slot& slot,
                                           SlotOutcome& outcome);
  asio::awaitable<Result<void>> CallBackend(BackendCall& call,
                                            const BackendRule& backend,
                                            const TraceContext& trace,
                                            SlotOutcome& outcome);
  // Whether the version of the response allows to forward it after what the
  // caller already has. Errors are never forwarded then.
  bool FitsStream(const BackendResponseHead& head) const;
  // Whether another engine may go on with the response.
  bool MayResume() const;
  asio::awaitable<Result<void>> ForwardBufferedResponse(
      BackendCall& call,
      const BackendResponseHead& head);
  asio::awaitable<Result<void>> ForwardStream(BackendCall& call,
                                              const SoftwareVersion& version,
                                              SlotOutcome& outcome);
  // Forwards the complete events in `events`. Returns true after the [DONE]
  // event.
  asio::awaitable<Result<bool>> ForwardEvents(class EventStreamSplitter& events,
                                              const SoftwareVersion& version,
                                              SlotOutcome& outcome);
  asio::awaitable<void> ReplyWithError(const Error& cause);
  void RecordFirstToken(SlotOutcome& outcome);
  void RecordUsage();
  std::vector<ReplyHeader> ReplyHeaders() const;
  // Time limit until the first byte of an engine's response.
  Millis FirstByteTimeout() const;
  Millis ConfiguredTimeout(const std::string& limit_name,
                           Millis fallback) const;

  HandlerContext& context_;
  CallerRequest& request_;
  RunningRequest& running_;
  CallerReply& reply_;
  const ChatPlan plan_;
  std::vector<BackendId> excluded_backends_;
  // Tokens sent to the caller, over all attempts.
  Tokens delivered_tokens_;
  bool reply_started_ = false;
  // Version of the engine that sent the first event of the stream; empty if it
  // stated none.
  SoftwareVersion stream_version_;
  // The engine of this attempt works, but has another version than the stream.
  bool version_mismatch_ = false;
  bool caller_gone_ = false;
  bool may_have_run_ = false;
  SteadyTime attempt_start_;
  SteadyTime last_progress_report_;
};

}  // namespace bamboomount

#endif  // ROUTER_INTERNAL_CHAT_EXCHANGE_H_
