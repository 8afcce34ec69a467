#include "router/internal/service_exchange.h"

#include <utility>

#include "router/events.h"
#include "router/internal/backend_request_builder.h"
#include "router/internal/error_reply.h"
#include "router/internal/retry_permission.h"
#include "router/internal/slot_request_factory.h"
#include "router/internal/slot_wait.h"
#include "router/internal/span_recorder.h"

namespace bamboomount {
namespace {

constexpr int kMaxAttempts = 3;
constexpr Millis kConnectTimeout{1000};
constexpr Millis kSendTimeout{5000};
constexpr Millis kResponseTimeout{30'000};
constexpr std::size_t kMaxResponseBytes = 16'777'216;
constexpr std::size_t kMaxIdempotencyKeyBytes = 256;
// How long a repeat waits for the first call of the same Idempotency-Key.
constexpr Millis kClaimPollInterval{100};
constexpr int kMaxClaimPolls = 50;

Error IdempotencyKeyReusedError() {
  return {ErrorCode::kIdempotencyKeyReused,
          RunVerdict::kNotRun,
          "the Idempotency-Key was used with another body",
          {}};
}

Error OutcomeUnknownError() {
  return {ErrorCode::kMayHaveRun,
          RunVerdict::kMayHaveRun,
          "a call with this Idempotency-Key was started and its answer is not "
          "known",
          {}};
}

}  // namespace

ServiceExchange::ServiceExchange(HandlerContext& context,
                                 CallerRequest& request,
                                 RunningRequest& running,
                                 CallerReply& reply,
                                 std::shared_ptr<const ServiceConfig> config,
                                 RouteRule route)
    : context_(context),
      request_(request),
      running_(running),
      reply_(reply),
      config_(std::move(config)),
      route_(std::move(route)) {}

asio::awaitable<void> ServiceExchange::Run() {
  if (!route_.repeatable) {
    co_await RunNonIdempotent();
    co_return;
  }
  auto response = co_await CallWithRetries();
  if (response)
    co_await ReplyWithResponse(response.value(), false);
  else
    co_await ReplyWithError(response.error());
}

asio::awaitable<void> ServiceExchange::RunNonIdempotent() {
  const std::string idempotency_key = request_.Header("Idempotency-Key");
  if (idempotency_key.empty() ||
      idempotency_key.size() > kMaxIdempotencyKeyBytes) {
    const Error refusal{ErrorCode::kMissingIdempotencyKey,
                        RunVerdict::kNotRun,
                        "this route needs an Idempotency-Key of 1 to 256 bytes",
                        {}};
    co_await ReplyWithError(refusal);
    co_return;
  }
  auto outcome = co_await AcquireClaim();
  if (!outcome) {
    co_await ReplyWithError(outcome.error());
    co_return;
  }
  if (const auto* claim = std::get_if<Claim>(&outcome.value())) {
    co_await RunWithClaim(*claim);
    co_return;
  }
  if (const auto* stored = std::get_if<StoredResponse>(&outcome.value())) {
    co_await ReplyWithResponse(*stored, true);
    co_return;
  }
  const Error refusal =
      std::holds_alternative<ClaimBodyMismatch>(outcome.value())
          ? IdempotencyKeyReusedError()
          : OutcomeUnknownError();
  co_await ReplyWithError(refusal);
}

asio::awaitable<Result<ClaimOutcome>> ServiceExchange::AcquireClaim() {
  const std::string customer =
      request_.identity ? request_.identity->customer.value() : "";
  const std::string row_key = ClaimStore::MakeRowKey(
      customer, request_.path, request_.Header("Idempotency-Key"));
  const std::string body_digest =
      Sha256Hex(std::string(request_.http.method_string()) + '\n' +
                request_.query + '\n' + request_.http.body());
  const std::function<Result<ClaimOutcome>()> acquire =
      [&claims = context_.claims, row_key, body_digest] {
        return claims.Acquire(row_key, body_digest);
      };
  asio::steady_timer poll(running_.executor());
  for (int i = 0;; ++i) {
    auto outcome = co_await context_.blocking_pool.Run(acquire);
    if (!outcome || i == kMaxClaimPolls || running_.cancel_reason() ||
        !std::holds_alternative<ClaimInProgress>(outcome.value()))
      co_return outcome;
    error_code ignored;
    poll.expires_after(kClaimPollInterval);
    co_await poll.async_wait(RedirectError(ignored));
  }
}

asio::awaitable<void> ServiceExchange::RunWithClaim(const Claim& claim) {
  const auto response = co_await CallWithRetries();
  if (response) {
    const ClaimUpdate stored{claim, response.value()};
    co_await UpdateClaim(stored);
    co_await ReplyWithResponse(response.value(), false);
    co_return;
  }
  const ClaimUpdate released{claim, std::nullopt};
  if (!may_have_run_)
    co_await UpdateClaim(released);
  co_await ReplyWithError(response.error());
}

asio::awaitable<void> ServiceExchange::UpdateClaim(const ClaimUpdate& update) {
  const std::function<Result<void>()> change = [&claims = context_.claims,
                                                update]() -> Result<void> {
    claims.Update(update);
    return Success();
  };
  const auto updated = co_await context_.blocking_pool.Run(change);
  if (!updated)
    context_.claims.QueueUpdate(update);
}

asio::awaitable<Result<StoredResponse>> ServiceExchange::CallWithRetries() {
  const ClassRule* class_rule = config_->FindClass(route_.class_id);
  if (class_rule == nullptr)
    co_return Error{ErrorCode::kUnknownRoute,
                    RunVerdict::kNotRun,
                    "the route has no service class",
                    {}};
  Error last_error;
  CountFirstAttempt(context_, *config_);
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    SlotRequest slot_request = MakeSlotRequest(request_, *config_, *class_rule,
                                               context_.options.zone, attempt);
    slot_request.excluded = excluded_backends_;
    auto slot = co_await WaitForSlot(context_.dependencies.slots, route_.pool,
                                     slot_request, running_);
    if (!slot)
      co_return slot.error();
    auto response = co_await RunAttempt(slot.value());
    if (response)
      co_return response;
    last_error = response.error();
    may_have_run_ |= last_error.verdict == RunVerdict::kMayHaveRun;
    if (running_.cancel_reason())
      co_return *running_.cancel_reason();
    if (may_have_run_ && !route_.repeatable)
      break;
    excluded_backends_.push_back(slot.value().backend);
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
  co_return running_.cancel_reason().value_or(last_error);
}

asio::awaitable<Result<StoredResponse>> ServiceExchange::RunAttempt(
    const Slot& slot) {
  SpanRecorder span(context_.dependencies.spans, request_.trace.NewChild(),
                    request_.trace.span_id, "backend server",
                    context_.options.instance.value());
  span.SetAttribute("backend", slot.backend.value());
  const auto start = std::chrono::steady_clock::now();
  const BackendRule* backend = config_->FindBackend(slot.backend);
  Result<StoredResponse> response = Error{ErrorCode::kNoBackend,
                                          RunVerdict::kNotRun,
                                          "backend server is not configured",
                                          {}};
  if (backend != nullptr) {
    BackendCall call(running_);
    response = co_await CallBackend(call, *backend, span.context());
  }
  SlotOutcome outcome;
  if (response)
    outcome.time_to_first_token = std::chrono::duration_cast<Millis>(
        std::chrono::steady_clock::now() - start);
  else if (running_.cancel_reason())
    outcome.end = SlotEnd::kCancelled;
  else if (response.error().verdict == RunVerdict::kNotRun)
    outcome.end = SlotEnd::kConnectFailed;
  else
    outcome.end = SlotEnd::kBackendFailed;
  context_.dependencies.slots.Release(slot.request, outcome);
  span.SetAttribute("result", response ? "ok" : response.error().message);
  span.Finish();
  co_return response;
}

asio::awaitable<Result<StoredResponse>> ServiceExchange::CallBackend(
    BackendCall& call,
    const BackendRule& backend,
    const TraceContext& trace) {
  auto connected = co_await call.Connect(backend.address, kConnectTimeout);
  if (!connected)
    co_return connected.error();
  const BackendRequest backend_request =
      BackendRequestBuilder(request_, backend.address)
          .Credential(context_.options.backend_credential)
          .Trace(trace)
          .Body(request_.http.body())
          .Build();
  auto sent = co_await call.Send(backend_request, kSendTimeout);
  if (!sent)
    co_return sent.error();
  auto head = co_await call.ReadHead(kResponseTimeout);
  if (!head)
    co_return head.error();
  if (head.value().request_id != request_.id.value()) {
    Log(kForeignAnswer, {{"request", request_.id.value()},
                         {"answer", head.value().request_id},
                         {"backend", backend.backend.value()}});
    co_return Error{ErrorCode::kBackendFailed,
                    RunVerdict::kMayHaveRun,
                    "the answer belongs to another request",
                    {}};
  }
  auto body = co_await call.ReadAll(kMaxResponseBytes, kResponseTimeout);
  if (!body)
    co_return body.error();
  co_return StoredResponse{head.value().status, head.value().content_type,
                           std::move(body).value()};
}

asio::awaitable<void> ServiceExchange::ReplyWithResponse(
    const StoredResponse& response,
    bool replayed) {
  BufferedReply reply;
  reply.status = response.status;
  reply.content_type = response.content_type;
  reply.body = response.body;
  reply.headers = {{"X-Request-Id", request_.id.value()},
                   {"traceparent", request_.trace.ToHeader()}};
  if (replayed)
    reply.headers.push_back({"Idempotency-Replayed", "true"});
  else if (request_.identity)
    context_.dependencies.record_usage(request_.identity->customer, Tokens(0),
                                       Tokens(0));
  co_await reply_.Send(reply);
}

asio::awaitable<void> ServiceExchange::ReplyWithError(const Error& error) {
  Error refusal = error;
  if (may_have_run_)
    refusal.verdict = RunVerdict::kMayHaveRun;
  const BufferedReply reply = ErrorReply(refusal);
  co_await reply_.Send(reply);
}

}  // namespace bamboomount
