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
// another engine after the last token that was sent to the caller.
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
  asio::awaitable<Result<void>> ForwardBufferedResponse(
      BackendCall& call,
      const BackendResponseHead& head);
  asio::awaitable<Result<void>> ForwardStream(BackendCall& call,
                                              SlotOutcome& outcome);
  // Forwards the complete events in `events`. Returns true after the [DONE]
  // event.
  asio::awaitable<Result<bool>> ForwardEvents(class EventStreamSplitter& events,
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
  bool caller_gone_ = false;
  bool may_have_run_ = false;
  SteadyTime attempt_start_;
  SteadyTime last_progress_report_;
};

}  // namespace bamboomount

#endif  // ROUTER_INTERNAL_CHAT_EXCHANGE_H_
