#include "router/internal/chat_exchange.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "router/events.h"
#include "router/internal/backend_request_builder.h"
#include "router/internal/error_reply.h"
#include "router/internal/event_stream_splitter.h"
#include "router/internal/retry_permission.h"
#include "router/internal/slot_request_factory.h"
#include "router/internal/slot_wait.h"
#include "router/internal/span_recorder.h"

namespace bamboomount {
namespace {

using Json = nlohmann::json;

constexpr int kMaxAttempts = 4;
constexpr Millis kConnectTimeout{1000};
constexpr Millis kSendTimeout{5000};
constexpr Millis kDefaultFirstByteTimeout{60'000};
constexpr Millis kDefaultStallTimeout{5000};
// An engine that has sent nothing after this many first-token targets of the
// class is taken for frozen; 60 s for every class held live chats too long.
constexpr int kFirstByteTargets = 4;
// How often the cell's owner hears of a stream's progress.
constexpr Millis kProgressInterval{250};
constexpr std::size_t kMaxReplyBytes = 16'777'216;
constexpr int kOk = 200;

Error BackendError(std::string message) {
  return {ErrorCode::kBackendFailed,
          RunVerdict::kMayHaveRun,
          std::move(message),
          {}};
}

// Refusals that concern the request itself; another engine would answer alike.
bool IsCallersFault(int status) {
  return status >= 400 && status < 500 && status != 408 && status != 429;
}

// The JSON text of an event, without "data:" and the blank line.
std::string_view EventData(std::string_view event) {
  constexpr std::string_view kPrefix = "data:";
  if (event.substr(0, kPrefix.size()) != kPrefix)
    return {};
  return event.substr(kPrefix.size());
}

// Tokens in one event: 1 if it carries text, else 0; empty if the event is
// malformed.
std::optional<Tokens> TokensIn(std::string_view event) {
  const std::string_view data = EventData(event);
  if (data.empty())
    return Tokens(0);
  const Json json = Json::parse(data, nullptr, false);
  if (!json.is_object())
    return std::nullopt;
  const auto choices = json.find("choices");
  if (choices == json.end() || !choices->is_array() || choices->empty())
    return Tokens(0);
  const auto& choice = choices->front();
  const auto delta = choice.find("delta");
  if (delta == choice.end() || !delta->is_object())
    return Tokens(0);
  const auto content = delta->find("content");
  const bool has_text = content != delta->end() && content->is_string() &&
                        !content->get_ref<const std::string&>().empty();
  return Tokens(has_text ? 1 : 0);
}

Millis Since(SteadyTime start) {
  return std::chrono::duration_cast<Millis>(std::chrono::steady_clock::now() -
                                            start);
}

}  // namespace

ChatExchange::ChatExchange(HandlerContext& context,
                           CallerRequest& request,
                           RunningRequest& running,
                           CallerReply& reply,
                           ChatPlan plan)
    : context_(context),
      request_(request),
      running_(running),
      reply_(reply),
      plan_(std::move(plan)) {}

asio::awaitable<void> ChatExchange::Run() {
  Error last_error;
  CountFirstAttempt(context_, *plan_.config);
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    auto slot = co_await NextSlot(attempt);
    if (!slot) {
      co_await Fail(slot.error());
      co_return;
    }
    SlotOutcome outcome;
    auto answered = co_await Attempt(slot.value(), outcome);
    context_.dependencies.slots.Release(slot.value().request, outcome);
    if (answered) {
      RecordUsage();
      co_return;
    }
    last_error = answered.error();
    may_have_run_ |= last_error.verdict == RunVerdict::kMayHaveRun;
    if (caller_gone_ || running_.cancel_reason())
      break;
    excluded_.push_back(slot.value().backend);
    context_.dependencies.metrics.Increment(
        "bamboomount_backend_failures_total",
        {{"backend", slot.value().backend.value()}});
    Log(kBackendAttemptFailed, {{"request", request_.id.value()},
                                {"backend", slot.value().backend.value()},
                                {"error", last_error.message}});
    if (attempt + 1 == kMaxAttempts)
      break;
    const bool may_retry =
        co_await WaitForRetry(context_, running_, attempt + 1);
    if (!may_retry)
      break;
  }
  const Error cause = running_.cancel_reason().value_or(last_error);
  co_await Fail(cause);
}

asio::awaitable<Result<Slot>> ChatExchange::NextSlot(int attempt) {
  SpanRecorder span(context_.dependencies.spans, request_.trace.NewChild(),
                    request_.trace.span_id, "wait for slot",
                    context_.options.instance.value());
  SlotRequest slot_request =
      MakeSlotRequest(request_, *plan_.config, plan_.class_rule,
                      context_.options.zone, attempt);
  slot_request.max_output_tokens = plan_.max_output_tokens;
  slot_request.prefix_hash = plan_.prefix_hash;
  slot_request.excluded = excluded_;
  auto slot = co_await WaitForSlot(context_.dependencies.slots, plan_.pool.pool,
                                   slot_request, running_);
  span.Attribute("result", slot ? slot.value().backend.value()
                                : std::string(ToString(slot.error().code)));
  span.Finish();
  co_return slot;
}

asio::awaitable<Result<void>> ChatExchange::Attempt(const Slot& slot,
                                                    SlotOutcome& outcome) {
  SpanRecorder span(context_.dependencies.spans, request_.trace.NewChild(),
                    request_.trace.span_id, "backend server",
                    context_.options.instance.value());
  span.Attribute("backend", slot.backend.value());
  attempt_start_ = std::chrono::steady_clock::now();
  last_progress_report_ = attempt_start_;
  const Tokens delivered_before = delivered_;
  const BackendRule* backend = plan_.config->FindBackend(slot.backend);
  Result<void> answered = Error{ErrorCode::kNoBackend,
                                RunVerdict::kNotRun,
                                "backend server is not configured",
                                {}};
  if (backend != nullptr) {
    BackendCall call(running_);
    answered = co_await Exchange(call, *backend, span.context(), outcome);
  }
  outcome.output_tokens = delivered_ - delivered_before;
  if (outcome.time_to_first_token)
    outcome.generation_time =
        Since(attempt_start_) - *outcome.time_to_first_token;
  if (!answered)
    outcome.end = answered.error().verdict == RunVerdict::kNotRun
                      ? SlotEnd::kConnectFailed
                      : SlotEnd::kBackendFailed;
  if (caller_gone_ || running_.cancel_reason())
    outcome.end = SlotEnd::kCancelled;
  span.Attribute("result",
                 answered ? "ok" : std::string(answered.error().message));
  span.Finish();
  co_return answered;
}

asio::awaitable<Result<void>> ChatExchange::Exchange(BackendCall& call,
                                                     const BackendRule& backend,
                                                     const TraceContext& trace,
                                                     SlotOutcome& outcome) {
  auto connected = co_await call.Connect(backend.address, kConnectTimeout);
  if (!connected)
    co_return connected;
  const BackendRequest backend_request =
      BackendRequestBuilder(request_, backend.address)
          .Credential(context_.options.backend_credential)
          .Priority(plan_.class_rule.tier)
          .Trace(trace)
          .ResumeOffset(delivered_)
          .Body(plan_.body)
          .Build();
  auto sent = co_await call.Send(backend_request, kSendTimeout);
  if (!sent)
    co_return sent;
  const Millis first_byte_timeout = FirstByteTimeout();
  auto head = co_await call.ReadHead(first_byte_timeout);
  if (!head)
    co_return head.error();
  if (head.value().request_id != request_.id.value()) {
    Log(kForeignAnswer, {{"request", request_.id.value()},
                         {"answer", head.value().request_id},
                         {"backend", backend.backend.value()}});
    co_return BackendError("the answer belongs to another request");
  }
  const bool is_error = head.value().status != kOk;
  if (is_error && !IsCallersFault(head.value().status))
    co_return BackendError("status " + std::to_string(head.value().status));
  if (plan_.streamed && !is_error) {
    auto passed = co_await PassStream(call, outcome);
    co_return passed;
  }
  auto passed = co_await PassWhole(call, head.value());
  co_return passed;
}

asio::awaitable<Result<void>> ChatExchange::PassWhole(
    BackendCall& call,
    const BackendReplyHead& head) {
  const Millis timeout =
      Timeout("first_byte_timeout_ms", kDefaultFirstByteTimeout);
  auto body = co_await call.ReadAll(kMaxReplyBytes, timeout);
  if (!body)
    co_return body.error();
  const Json json = Json::parse(body.value(), nullptr, false);
  if (!json.is_object())
    co_return BackendError("the answer is not a JSON object");
  if (answer_begun_)
    co_return BackendError("the engine refused to resume the stream");
  if (json.contains("usage") && json["usage"].is_object())
    delivered_ = Tokens(json["usage"].value("completion_tokens", 0L));
  answer_begun_ = true;
  WholeReply whole;
  whole.status = head.status;
  whole.headers = ReplyHeaders();
  whole.body = std::move(body).value();
  const bool sent = co_await reply_.Send(whole);
  caller_gone_ = !sent;
  co_return Success();
}

asio::awaitable<Result<void>> ChatExchange::PassStream(BackendCall& call,
                                                       SlotOutcome& outcome) {
  EventStreamSplitter events;
  const Millis stall_timeout =
      Timeout("stall_timeout_ms", kDefaultStallTimeout);
  while (true) {
    auto piece = co_await call.ReadSome(stall_timeout);
    if (!piece)
      co_return piece.error();
    if (!piece.value())
      co_return BackendError("the stream ended without its end mark");
    events.Append(*piece.value());
    auto done = co_await PassEvents(events, outcome);
    if (!done)
      co_return done.error();
    if (done.value())
      co_return Success();
  }
}

asio::awaitable<Result<bool>> ChatExchange::PassEvents(
    EventStreamSplitter& pending,
    SlotOutcome& outcome) {
  std::string batch;
  Tokens batch_tokens;
  bool done = false;
  while (auto event = pending.Next()) {
    done = IsDoneEvent(*event);
    if (!done) {
      const auto tokens = TokensIn(*event);
      if (!tokens)
        co_return BackendError("the stream holds a malformed event");
      batch_tokens += *tokens;
    }
    batch += *event;
    if (done)
      break;
  }
  if (batch.empty())
    co_return false;
  if (!answer_begun_) {
    answer_begun_ = true;
    const std::string content_type = "text/event-stream";
    const std::vector<ReplyHeader> headers = ReplyHeaders();
    const bool begun = co_await reply_.BeginStream(content_type, headers);
    caller_gone_ = !begun;
  }
  if (!caller_gone_) {
    const bool passed = co_await reply_.SendChunk(batch);
    caller_gone_ = !passed;
  }
  if (!caller_gone_ && done) {
    const bool ended = co_await reply_.EndStream();
    caller_gone_ = !ended;
  }
  if (caller_gone_)
    co_return Error{ErrorCode::kCallerGone,
                    RunVerdict::kMayHaveRun,
                    "the caller closed its connection",
                    {}};
  if (batch_tokens > Tokens(0))
    RecordFirstToken(outcome);
  delivered_ += batch_tokens;
  if (Since(last_progress_report_) >= kProgressInterval) {
    last_progress_report_ = std::chrono::steady_clock::now();
    context_.dependencies.slots.ReportProgress(
        RequestId(request_.id.value() + "." + std::to_string(excluded_.size())),
        delivered_);
  }
  co_return done;
}

asio::awaitable<void> ChatExchange::Fail(const Error& cause) {
  Error error = cause;
  if (may_have_run_)
    error.verdict = RunVerdict::kMayHaveRun;
  RecordUsage();
  if (caller_gone_ || error.code == ErrorCode::kCallerGone) {
    reply_.AbortStream();
    co_return;
  }
  if (!answer_begun_) {
    const WholeReply refusal = ErrorReply(error);
    co_await reply_.Send(refusal);
    co_return;
  }
  if (error.code == ErrorCode::kBackendFailed ||
      error.code == ErrorCode::kOverloaded ||
      error.code == ErrorCode::kDeadlineUnreachable ||
      error.code == ErrorCode::kNoBackend)
    error.code = ErrorCode::kStreamInterrupted;
  Log(kStreamInterrupted,
      {{"request", request_.id.value()}, {"error", error.message}});
  context_.dependencies.metrics.Increment(
      "bamboomount_streams_interrupted_total",
      {{"class", plan_.class_rule.class_id.value()}});
  const std::string event = "event: error\ndata: " + ErrorJson(error) + "\n\n";
  co_await reply_.SendChunk(event);
  reply_.AbortStream();
}

void ChatExchange::RecordFirstToken(SlotOutcome& outcome) {
  if (!outcome.time_to_first_token)
    outcome.time_to_first_token = Since(attempt_start_);
  if (delivered_ > Tokens(0))
    return;
  context_.dependencies.metrics.Observe(
      "bamboomount_first_token_seconds",
      {{"class", plan_.class_rule.class_id.value()}},
      std::chrono::steady_clock::now() - request_.arrival);
}

void ChatExchange::RecordUsage() {
  if (!request_.identity || delivered_ == Tokens(0))
    return;
  const SlotRequest slot = MakeSlotRequest(
      request_, *plan_.config, plan_.class_rule, context_.options.zone, 0);
  context_.dependencies.record_usage(request_.identity->customer,
                                     slot.prompt_tokens, delivered_);
}

std::vector<ReplyHeader> ChatExchange::ReplyHeaders() const {
  return {{"X-Request-Id", request_.id.value()},
          {"traceparent", request_.trace.ToHeader()}};
}

Millis ChatExchange::FirstByteTimeout() const {
  const Millis longest =
      Timeout("first_byte_timeout_ms", kDefaultFirstByteTimeout);
  // A whole answer begins when it is complete.
  if (!plan_.streamed)
    return longest;
  const Millis shortest = Timeout("stall_timeout_ms", kDefaultStallTimeout);
  return std::min(longest,
                  std::max(shortest, plan_.class_rule.first_token_target *
                                         kFirstByteTargets));
}

Millis ChatExchange::Timeout(const std::string& limit, Millis fallback) const {
  return Millis(static_cast<std::int64_t>(
      plan_.config->Limit(limit, static_cast<double>(fallback.count()))));
}

}  // namespace bamboomount
