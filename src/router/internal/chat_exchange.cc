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
// class is treated as frozen. A limit of 60 s for every class kept interactive
// chats waiting too long.
constexpr int kFirstByteTimeoutFactor = 4;
// Minimum time between two progress reports of a stream to the owner of the
// cell.
constexpr Millis kProgressReportInterval{250};
constexpr std::size_t kMaxResponseBytes = 16'777'216;
// A server that sends a longer event is considered faulty.
constexpr std::size_t kMaxEventBytes = 1'048'576;
constexpr int kHttpOk = 200;

Error BackendError(std::string message) {
  return {ErrorCode::kBackendFailed,
          RunVerdict::kMayHaveRun,
          std::move(message),
          {}};
}

// Whether `status` rejects the request itself, so that another engine would
// respond alike.
bool IsNonRetryableStatus(int status) {
  return status >= 400 && status < 500 && status != 408 && status != 429;
}

// The text of an event after "data:"; empty if the event does not start with
// it.
std::string_view EventPayload(std::string_view event) {
  constexpr std::string_view kDataPrefix = "data:";
  if (event.substr(0, kDataPrefix.size()) != kDataPrefix)
    return {};
  return event.substr(kDataPrefix.size());
}

// Returns the number of tokens in one event: 1 if it carries text, else 0.
// Returns nothing if the event is malformed.
std::optional<Tokens> CountTokens(std::string_view event) {
  const std::string_view data = EventPayload(event);
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

Millis ElapsedSince(SteadyTime start) {
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
    auto slot = co_await AcquireSlot(attempt);
    if (!slot) {
      co_await ReplyWithError(slot.error());
      co_return;
    }
    SlotOutcome outcome;
    auto result = co_await RunAttempt(slot.value(), outcome);
    context_.dependencies.slots.Release(slot.value().request, outcome);
    if (result) {
      RecordUsage();
      co_return;
    }
    last_error = result.error();
    may_have_run_ |= last_error.verdict == RunVerdict::kMayHaveRun;
    if (caller_gone_ || running_.cancel_reason())
      break;
    excluded_backends_.push_back(slot.value().backend);
    if (!version_mismatch_) {
      context_.dependencies.metrics.Increment(
          "bamboomount_backend_failures_total",
          {{"backend", slot.value().backend.value()}});
    }
    Log(kBackendAttemptFailed, {{"request", request_.id.value()},
                                {"backend", slot.value().backend.value()},
                                {"error", last_error.message}});
    if (attempt + 1 == kMaxAttempts || !MayResume())
      break;
    const bool may_retry =
        co_await WaitForRetry(context_, running_, attempt + 1);
    if (!may_retry)
      break;
  }
  const Error cause = running_.cancel_reason().value_or(last_error);
  co_await ReplyWithError(cause);
}

asio::awaitable<Result<Slot>> ChatExchange::AcquireSlot(int attempt) {
  SpanRecorder span(context_.dependencies.spans, request_.trace.NewChild(),
                    request_.trace.span_id, "wait for slot",
                    context_.options.instance.value());
  SlotRequest slot_request =
      MakeSlotRequest(request_, *plan_.config, plan_.class_rule,
                      context_.options.zone, attempt);
  slot_request.max_output_tokens = plan_.max_output_tokens;
  slot_request.prefix_hash = plan_.prefix_hash;
  slot_request.excluded = excluded_backends_;
  auto slot = co_await WaitForSlot(context_.dependencies.slots, plan_.pool.pool,
                                   slot_request, running_);
  span.SetAttribute("result", slot ? slot.value().backend.value()
                                   : std::string(ToString(slot.error().code)));
  span.Finish();
  co_return slot;
}

asio::awaitable<Result<void>> ChatExchange::RunAttempt(const Slot& slot,
                                                       SlotOutcome& outcome) {
  SpanRecorder span(context_.dependencies.spans, request_.trace.NewChild(),
                    request_.trace.span_id, "backend server",
                    context_.options.instance.value());
  span.SetAttribute("backend", slot.backend.value());
  attempt_start_ = std::chrono::steady_clock::now();
  last_progress_report_ = attempt_start_;
  const Tokens delivered_before_attempt = delivered_tokens_;
  version_mismatch_ = false;
  const BackendRule* backend = plan_.config->FindBackend(slot.backend);
  Result<void> result = Error{ErrorCode::kNoBackend,
                              RunVerdict::kNotRun,
                              "backend server is not configured",
                              {}};
  if (backend != nullptr) {
    BackendCall call(running_);
    result = co_await CallBackend(call, *backend, span.context(), outcome);
  }
  outcome.output_tokens = delivered_tokens_ - delivered_before_attempt;
  if (outcome.time_to_first_token)
    outcome.generation_time =
        ElapsedSince(attempt_start_) - *outcome.time_to_first_token;
  if (!result)
    outcome.end = result.error().verdict == RunVerdict::kNotRun
                      ? SlotEnd::kConnectFailed
                      : SlotEnd::kBackendFailed;
  // An engine of another version has not failed and keeps getting requests.
  if (caller_gone_ || running_.cancel_reason() || version_mismatch_)
    outcome.end = SlotEnd::kCancelled;
  span.SetAttribute("result",
                    result ? "ok" : std::string(result.error().message));
  span.Finish();
  co_return result;
}

asio::awaitable<Result<void>> ChatExchange::CallBackend(
    BackendCall& call,
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
          .ResumeOffset(delivered_tokens_)
          .ExpectedVersion(stream_version_)
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
  if (!FitsStream(head.value())) {
    version_mismatch_ = true;
    co_return BackendError("the engine has another version than the stream");
  }
  const bool is_error = head.value().status != kHttpOk;
  if (is_error && !IsNonRetryableStatus(head.value().status))
    co_return BackendError("status " + std::to_string(head.value().status));
  if (plan_.streamed && !is_error) {
    auto forwarded =
        co_await ForwardStream(call, head.value().engine_version, outcome);
    co_return forwarded;
  }
  auto forwarded = co_await ForwardBufferedResponse(call, head.value());
  co_return forwarded;
}

bool ChatExchange::FitsStream(const BackendResponseHead& head) const {
  if (!reply_started_ || head.engine_version == stream_version_)
    return true;
  // An error without a version is one of a server in front of the engine.
  return head.status != kHttpOk && head.engine_version.empty();
}

bool ChatExchange::MayResume() const {
  return !reply_started_ || !stream_version_.empty();
}

asio::awaitable<Result<void>> ChatExchange::ForwardBufferedResponse(
    BackendCall& call,
    const BackendResponseHead& head) {
  const Millis timeout =
      ConfiguredTimeout("first_byte_timeout_ms", kDefaultFirstByteTimeout);
  auto body = co_await call.ReadAll(kMaxResponseBytes, timeout);
  if (!body)
    co_return body.error();
  const Json json = Json::parse(body.value(), nullptr, false);
  if (!json.is_object())
    co_return BackendError("the answer is not a JSON object");
  if (reply_started_)
    co_return BackendError("the engine refused to resume the stream");
  if (json.contains("usage") && json["usage"].is_object())
    delivered_tokens_ = Tokens(json["usage"].value("completion_tokens", 0L));
  reply_started_ = true;
  BufferedReply reply;
  reply.status = head.status;
  reply.headers = ReplyHeaders();
  reply.body = std::move(body).value();
  const bool sent = co_await reply_.Send(reply);
  caller_gone_ = !sent;
  co_return Success();
}

asio::awaitable<Result<void>> ChatExchange::ForwardStream(
    BackendCall& call,
    const SoftwareVersion& version,
    SlotOutcome& outcome) {
  EventStreamSplitter events;
  const Millis stall_timeout =
      ConfiguredTimeout("stall_timeout_ms", kDefaultStallTimeout);
  while (true) {
    auto chunk = co_await call.ReadSome(stall_timeout);
    if (!chunk)
      co_return chunk.error();
    if (!chunk.value())
      co_return BackendError("the stream ended without its end mark");
    events.Append(*chunk.value());
    auto done = co_await ForwardEvents(events, version, outcome);
    if (!done)
      co_return done.error();
    if (done.value())
      co_return Success();
    if (events.buffered_bytes() > kMaxEventBytes)
      co_return BackendError("an event of the stream is too long");
  }
}

asio::awaitable<Result<bool>> ChatExchange::ForwardEvents(
    EventStreamSplitter& events,
    const SoftwareVersion& version,
    SlotOutcome& outcome) {
  std::string batch;
  Tokens batch_tokens;
  bool done = false;
  while (auto event = events.NextEvent()) {
    done = IsDoneEvent(*event);
    if (!done) {
      const auto tokens = CountTokens(*event);
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
  if (!reply_started_) {
    reply_started_ = true;
    stream_version_ = version;
    const std::string content_type = "text/event-stream";
    const std::vector<ReplyHeader> headers = ReplyHeaders();
    const bool started = co_await reply_.BeginStream(content_type, headers);
    caller_gone_ = !started;
  }
  if (!caller_gone_) {
    const bool forwarded = co_await reply_.SendChunk(batch);
    caller_gone_ = !forwarded;
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
  delivered_tokens_ += batch_tokens;
  if (ElapsedSince(last_progress_report_) >= kProgressReportInterval) {
    last_progress_report_ = std::chrono::steady_clock::now();
    context_.dependencies.slots.ReportProgress(
        RequestId(request_.id.value() + "." +
                  std::to_string(excluded_backends_.size())),
        delivered_tokens_);
  }
  co_return done;
}

asio::awaitable<void> ChatExchange::ReplyWithError(const Error& cause) {
  Error error = cause;
  if (may_have_run_)
    error.verdict = RunVerdict::kMayHaveRun;
  RecordUsage();
  if (caller_gone_ || error.code == ErrorCode::kCallerGone) {
    reply_.AbortStream();
    co_return;
  }
  if (!reply_started_) {
    const BufferedReply refusal = ErrorReply(error);
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
    outcome.time_to_first_token = ElapsedSince(attempt_start_);
  if (delivered_tokens_ > Tokens(0))
    return;
  context_.dependencies.metrics.Observe(
      "bamboomount_first_token_seconds",
      {{"class", plan_.class_rule.class_id.value()}},
      std::chrono::steady_clock::now() - request_.arrival);
}

void ChatExchange::RecordUsage() {
  if (!request_.identity || delivered_tokens_ == Tokens(0))
    return;
  const SlotRequest slot = MakeSlotRequest(
      request_, *plan_.config, plan_.class_rule, context_.options.zone, 0);
  context_.dependencies.record_usage(request_.identity->customer,
                                     slot.prompt_tokens, delivered_tokens_);
}

std::vector<ReplyHeader> ChatExchange::ReplyHeaders() const {
  return {{"X-Request-Id", request_.id.value()},
          {"traceparent", request_.trace.ToHeader()}};
}

Millis ChatExchange::FirstByteTimeout() const {
  const Millis max_timeout =
      ConfiguredTimeout("first_byte_timeout_ms", kDefaultFirstByteTimeout);
  // A response that is not streamed begins only when it is complete.
  if (!plan_.streamed)
    return max_timeout;
  const Millis min_timeout =
      ConfiguredTimeout("stall_timeout_ms", kDefaultStallTimeout);
  return std::min(max_timeout,
                  std::max(min_timeout, plan_.class_rule.first_token_target *
                                            kFirstByteTimeoutFactor));
}

Millis ChatExchange::ConfiguredTimeout(const std::string& limit_name,
                                       Millis fallback) const {
  return Millis(static_cast<std::int64_t>(
      plan_.config->Limit(limit_name, static_cast<double>(fallback.count()))));
}

}  // namespace bamboomount
