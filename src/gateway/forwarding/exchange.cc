#include "gateway/forwarding/exchange.h"

#include <algorithm>
#include <sstream>
#include <utility>

#include "gateway/admission_rules.h"
#include "gateway/events.h"
#include "gateway/forwarding/hop_by_hop_headers.h"
#include "gateway/forwarding/request_log.h"
#include "telemetry/log.h"

namespace bamboomount {
namespace {

constexpr unsigned kHttp11 = 11;
// Misdirected Request (RFC 9110, 15.5.20): the server is not the one that the
// request was addressed to.
constexpr unsigned kMisdirected = 421;
constexpr unsigned kServiceUnavailable = 503;
// Subtracted from the caller's time limit, which starts when the caller sends
// the request, not when it arrives here.
constexpr Millis kCallerTransitTime{3};
// Responses up to this size are buffered until they are complete, so that
// another server can still be tried.
constexpr std::size_t kMaxBufferedBodyBytes = 262144;
// A server that sends more bytes than this which are not an answer, or a longer
// event, is considered faulty.
constexpr std::size_t kMaxDiscardedBytes = 1'048'576;
constexpr std::size_t kMaxEventBytes = 1'048'576;
// Reading from the backend server pauses while the caller has more unsent bytes
// than this.
constexpr std::size_t kMaxUnsentBytes = 65536;
// An idempotent request is retried at another server if the first one has not
// responded within this fraction of the target latency.
constexpr double kResponseTimeoutFraction = 0.7;
// A request on a reused connection that the server had already closed fails
// within this time, one round trip between availability zones. After a later
// failure the request has most likely run.
constexpr Millis kStaleConnectionErrorTime{10};

unsigned StatusClass(unsigned status) {
  return status / 100;
}

// Whether callers take the status for the promise that the request has not run
// and never will. Of a server's answers, only those marked as not executed make
// this promise.
bool PromisesNotRun(unsigned status) {
  constexpr unsigned kRequestTimeout = 408;
  constexpr unsigned kTooManyRequests = 429;
  return status == kRequestTimeout || status == kTooManyRequests ||
         status == kServiceUnavailable;
}

bool IsEventStream(const http::response_header<>& header) {
  constexpr char kType[] = "text/event-stream";
  const beast::string_view type = header[http::field::content_type];
  return beast::iequals(type.substr(0, type.find(';')), kType);
}

}  // namespace

Exchange::Exchange(Dispatcher& dispatcher,
                   IncomingRequest request,
                   std::shared_ptr<CallerReply> reply)
    : dispatcher_(dispatcher),
      request_(std::move(request)),
      reply_(std::move(reply)),
      deadline_timer_(dispatcher.context()),
      step_timer_(dispatcher.context()) {}

Exchange::~Exchange() = default;

void Exchange::Start() {
  if (!Admit())
    return;
  pool_ = admitted_.route->ChoosePool(dispatcher_.Random());
  const Pool* pool = admitted_.policy->FindPool(pool_);
  engine_ = pool && pool->engine ? &*pool->engine : nullptr;
  Millis limit = admitted_.route->timeout;
  if (head_.time_limit)
    limit = std::min(limit, *head_.time_limit - kCallerTransitTime);
  deadline_ = request_.received + limit;
  dispatcher_.CountRequest(pool_);
  reply_->SetCallerGoneHandler(
      [self = shared_from_this()] { self->OnCallerGone(); });
  deadline_timer_.expires_after(
      std::max(Millis(0), TimeLeft(BootClock::now())));
  deadline_timer_.async_wait(
      [self = shared_from_this()](const error_code& error) {
        if (!error && !self->ended_)
          self->OnDeadline();
      });
  SelectBackend();
}

bool Exchange::Admit() {
  auto head = dispatcher_.protocol().DecodeCallerHead(request_.message);
  if (!head) {
    Refuse(http::status::bad_request, head.error().message);
    return false;
  }
  head_ = std::move(head.value());
  AdmissionOutcome outcome = AdmitRequest(
      request_.message.base(), head_, dispatcher_.state(), BootClock::now());
  if (const auto* refusal = std::get_if<RequestRefusal>(&outcome)) {
    if (refusal->status == http::status::service_unavailable)
      RefuseTemporarily(refusal->reason);
    else
      Refuse(refusal->status, refusal->reason);
    return false;
  }
  admitted_ = std::move(std::get<AdmittedRequest>(outcome));
  return true;
}

void Exchange::SelectBackend() {
  if (ended_)
    return;
  const Instant now = BootClock::now();
  if (RefuseIfPoisonous(now))
    return;
  const auto untried = dispatcher_.UntriedBackends(pool_, tried_);
  if (untried.empty() && !tried_.empty()) {
    FailWithoutResponse("no other backend server left to try");
    return;
  }
  if (engine_ && !HasRoomAtEngines()) {
    WaitForCapacity();
    return;
  }
  const auto candidates = dispatcher_.BelowConnectionLimit(untried, pool_);
  const BackendServer* server = dispatcher_.state().selector().Choose(
      candidates, MakePlacementRequest(), now);
  if (server)
    SendTo(*server);
  else
    WaitForCapacity();
}

bool Exchange::RefuseIfPoisonous(Instant now) {
  if (!engine_)
    return false;
  const auto until =
      dispatcher_.state().poison_parts().PoisonousUntil(head_.prompt);
  if (!until)
    return false;
  constexpr std::string_view kReason =
      "a part of the prompt crashes backend servers";
  if (history_.reply_started || history_.possible_runs > 0)
    FailWithoutResponse(kReason);
  else
    RefuseTemporarily(kReason, ToMillis(*until - now));
  return true;
}

bool Exchange::HasRoomAtEngines() const {
  return dispatcher_.concurrency_limit(pool_).HasRoom(admitted_.urgency,
                                                      IsUrgent()) &&
         !dispatcher_.HasMoreUrgentWaiter(pool_, admitted_.urgency);
}

bool Exchange::IsUrgent() const {
  return admitted_.urgency.value() + 1 < admitted_.policy->urgency_levels();
}

PlacementRequest Exchange::MakePlacementRequest() const {
  const GatewayState& state = dispatcher_.state();
  return {head_.prompt,
          engine_,
          {admitted_.urgency, IsUrgent(), admitted_.route->target_latency},
          state.settings().zone,
          state.backends().Listed(pool_)};
}

void Exchange::SendTo(const BackendServer& server) {
  const Instant now = BootClock::now();
  GatewayState& state = dispatcher_.state();
  const PrefixPlan prefix =
      state.selector().PlanPrefix(server, MakePlacementRequest(), now);
  copy_prefix_from_ = prefix.copy_from ? prefix.copy_from->address : "";
  load_ = {prefix.prefill_tokens, engine_ && head_.prompt.HasLongAnswer(),
           IsUrgent()};
  generating_ = false;
  sent_at_ = now;
  body_mode_ = BodyMode::kBuffer;
  buffered_body_.clear();
  reply_head_ = {};
  state.loads().AddRequest(server.id, load_);
  if (engine_) {
    dispatcher_.concurrency_limit(pool_).Add(admitted_.urgency);
    engine_is_busy_ =
        2 * state.loads().Total(server.id).requests > server.slots;
  }
  queued_tokens_ = Tokens(
      IsUrgent() ? state.loads().Total(server.id).urgent_prefill_tokens
                 : state.loads().Total(server.id).pending_prefill_tokens);
  state.selector().RecordPrefixSent(server, head_.prompt, now);
  LogPlaced(
      head_, admitted_,
      {server.id, state.loads().Total(server.id).requests, load_.prefill_tokens,
       prefix.copy_from ? prefix.copy_from->id : BackendId(),
       state.freshness().Age(now)});
  attempt_ = std::make_shared<BackendAttempt>(
      dispatcher_.environment(), server,
      BackendAttempt::Options{head_.id,
                              request_.message.method() == http::verb::head,
                              !MayRepeat(admitted_.route->kind)},
      *this);
  ArmResponseTimer();
  // A copy, because the attempt may end within Start and reset the member.
  const auto attempt = attempt_;
  attempt->Start();
  // There may be room for the next waiting request as well.
  if (engine_)
    asio::post(dispatcher_.context(), [self = shared_from_this()] {
      self->dispatcher_.WakeOne(self->pool_);
    });
}

void Exchange::ArmResponseTimer() {
  step_timer_.cancel();
  if (admitted_.route->kind != RequestKind::kIdempotent)
    return;
  const auto response_timeout = std::chrono::duration_cast<Millis>(
      admitted_.route->target_latency * kResponseTimeoutFraction);
  step_timer_.expires_after(response_timeout);
  step_timer_.async_wait(
      [self = shared_from_this(), attempt = attempt_](const error_code& error) {
        if (!error && !self->ended_ && self->attempt_ == attempt)
          self->OnResponseTimeout();
      });
}

void Exchange::WaitForCapacity() {
  const Instant now = BootClock::now();
  const Millis limit =
      MaxQueueTime(admitted_.route->target_latency, TimeLeft(now));
  const Millis waited = ToMillis(now - request_.received);
  if (waited >= limit) {
    FailWithoutResponse("no backend server has capacity");
    return;
  }
  ticket_ = dispatcher_.AddWaiter(pool_, admitted_.urgency,
                                  [self = shared_from_this()] {
                                    self->ticket_.reset();
                                    self->step_timer_.cancel();
                                    self->SelectBackend();
                                  });
  step_timer_.expires_after(limit - waited);
  step_timer_.async_wait([self = shared_from_this()](const error_code& error) {
    if (error || self->ended_ || !self->ticket_)
      return;
    self->LeaveWaitQueue();
    self->FailWithoutResponse(
        "no backend server had capacity within the queue time limit");
  });
}

void Exchange::LeaveWaitQueue() {
  if (!ticket_)
    return;
  dispatcher_.RemoveWaiter(pool_, *ticket_);
  ticket_.reset();
}

std::optional<std::string> Exchange::PrepareHead() {
  const Instant now = BootClock::now();
  const Millis left = TimeLeft(now);
  if (ended_ || left <= Millis(0))
    return std::nullopt;
  GatewayState& state = dispatcher_.state();
  const BackendServer& server = attempt_->server();
  // The server may have started to leave, or asked for a pause, while the
  // connection was being set up.
  if (!dispatcher_.AcceptsRequests(server.id))
    return std::nullopt;
  if (!admitted_.customer.empty() && !state.KeysAreCurrent(now)) {
    keys_stale_ = true;
    return std::nullopt;
  }
  http::request_header<> header(request_.message.base());
  header.version(kHttp11);
  RemoveHopByHopHeaders(header);
  ForwardingHead forwarding{
      left,         server.id,         admitted_.customer,
      std::nullopt, copy_prefix_from_, framer_.last_event_id()};
  if (engine_)
    forwarding.urgency =
        Urgency{admitted_.urgency, admitted_.policy->urgency_levels()};
  dispatcher_.protocol().EncodeForwardingHead(forwarding, header);
  const bool has_body = !request_.message.body().empty() ||
                        request_.message.find(http::field::content_length) !=
                            request_.message.end() ||
                        request_.message.chunked();
  if (has_body)
    header.set(http::field::content_length,
               std::to_string(request_.message.body().size()));
  std::ostringstream text;
  text << header;
  return text.str();
}

void Exchange::OnReplyHead(const http::response_header<>& header,
                           const ReplyHead& head,
                           std::optional<std::uint64_t> content_length) {
  step_timer_.cancel();
  reply_head_ = head;
  RecordServerSignals(head);
  if (head.not_executed || head.status == kMisdirected) {
    body_mode_ = BodyMode::kDiscard;
    return;
  }
  CountUsageOnce();
  const bool success = StatusClass(head.status) == 2;
  if (success && !head.sealed) {
    // A success without a seal does not come from the service.
    body_mode_ = BodyMode::kDiscard;
    return;
  }
  if (history_.reply_started) {
    // A resumed response keeps the header of the first server. Whatever is not
    // a stream of events is not its continuation.
    body_mode_ = success && IsEventStream(header) ? BodyMode::kForward
                                                  : BodyMode::kDiscard;
    return;
  }
  reply_header_ = header;
  reply_length_ = content_length;
  const bool large = content_length.value_or(0) > kMaxBufferedBodyBytes;
  body_mode_ = success && (IsStream(admitted_.route->kind) || large)
                   ? BodyMode::kForward
                   : BodyMode::kBuffer;
}

void Exchange::RecordServerSignals(const ReplyHead& head) {
  const BackendServer& server = attempt_->server();
  const Instant now = BootClock::now();
  if (head.server_leaving &&
      dispatcher_.state().backends().MarkLeaving(server, now))
    Log(gateway_events::kBackendLeaving,
        {{"backend", server.id.value()}, {"request", head_.id.value()}});
  if (head.status != kServiceUnavailable || !head.retry_after)
    return;
  if (dispatcher_.AcceptsRequests(server.id))
    Log(gateway_events::kBackendPaused,
        {{"backend", server.id.value()},
         {"request", head_.id.value()},
         {"retry_after_ms", std::to_string(head.retry_after->count())}});
  dispatcher_.PauseBackend(server.id, *head.retry_after);
}

bool Exchange::OnReplyBody(std::string_view piece) {
  switch (body_mode_) {
    case BodyMode::kDiscard:
      discarded_bytes_ += piece.size();
      return discarded_bytes_ <= kMaxDiscardedBytes || AbandonReply();
    case BodyMode::kBuffer:
      buffered_body_.append(piece);
      if (buffered_body_.size() <= kMaxBufferedBodyBytes)
        return true;
      body_mode_ = BodyMode::kForward;
      return Forward(std::exchange(buffered_body_, {}));
    case BodyMode::kForward:
      RecordFirstBytes();
      return Forward(piece);
  }
  return true;
}

bool Exchange::Forward(std::string_view piece) {
  std::string bytes =
      IsStream(admitted_.route->kind) ? framer_.Add(piece) : std::string(piece);
  if (framer_.partial_bytes() > kMaxEventBytes)
    return AbandonReply();
  if (bytes.empty())
    return true;
  RecordForwardTime();
  if (!history_.reply_started)
    BeginForwarding();
  reply_->Write(std::move(bytes));
  if (ended_)
    return false;
  if (reply_->pending_bytes() <= kMaxUnsentBytes)
    return true;
  reply_->WhenDrained([self = shared_from_this(), attempt = attempt_] {
    if (!self->ended_ && self->attempt_ == attempt)
      attempt->Resume();
  });
  return false;
}

bool Exchange::AbandonReply() {
  attempt_->Cancel();
  OnAttemptEnd(AttemptOutcome::kInterrupted);
  return false;
}

void Exchange::RecordForwardTime() {
  const Instant now = BootClock::now();
  if (history_.reply_started)
    longest_pause_ =
        std::max(longest_pause_, ToMillis(now - last_forwarded_at_));
  else
    time_to_first_bytes_ = ToMillis(now - request_.received);
  last_forwarded_at_ = now;
}

void Exchange::BeginForwarding() {
  history_.reply_started = true;
  http::response_header<> header(reply_header_);
  RemoveHopByHopHeaders(header);
  reply_->Begin(std::move(header),
                IsStream(admitted_.route->kind) ? std::nullopt : reply_length_);
}

void Exchange::CountUsageOnce() {
  if (usage_counted_ || admitted_.customer.empty())
    return;
  usage_counted_ = true;
  GatewayState& state = dispatcher_.state();
  const Millis wall = state.WallTime(BootClock::now());
  state.usage().RecordRequest(WindowAt(wall, state.settings().usage_window),
                              admitted_.customer);
}

void Exchange::RecordFirstBytes() {
  if (generating_)
    return;
  generating_ = true;
  const Instant now = BootClock::now();
  GatewayState& state = dispatcher_.state();
  const BackendId& server = attempt_->server().id;
  state.loads().RecordFirstToken(server, load_);
  if (engine_) {
    state.prefill_throughput().Observe(pool_, queued_tokens_,
                                       ToMillis(now - sent_at_));
    RecordFirstTokenLatency(now);
  }
  state.health().RecordSuccess(server, ToMillis(now - sent_at_),
                               admitted_.route->target_latency);
  dispatcher_.metrics().Observe("bamboomount_first_bytes_seconds",
                                {{"route", admitted_.route->name}},
                                now - request_.received);
}

void Exchange::RecordFirstTokenLatency(Instant now) {
  dispatcher_.concurrency_limit(pool_).Record(
      {admitted_.urgency, IsUrgent(), sent_at_, ToMillis(now - sent_at_),
       admitted_.route->target_latency, engine_is_busy_},
      now);
}

void Exchange::OnAttemptEnd(AttemptOutcome outcome) {
  const auto self = shared_from_this();
  if (ended_)
    return;
  step_timer_.cancel();
  switch (outcome) {
    case AttemptOutcome::kNotSent:
      OnNotSent(ServerFailure::kNoResponse);
      return;
    case AttemptOutcome::kConnectionRefused:
      OnNotSent(ServerFailure::kConnectionRefused);
      return;
    case AttemptOutcome::kInterrupted:
      OnInterrupted();
      return;
    case AttemptOutcome::kComplete:
      if (reply_head_.not_executed || reply_head_.status == kMisdirected)
        OnRefusedByServer();
      else
        OnComplete();
      return;
  }
}

void Exchange::OnNotSent(ServerFailure failure) {
  const BackendId server = attempt_->server().id;
  const bool accepts_requests = dispatcher_.AcceptsRequests(server);
  ReleaseAttempt();
  if (keys_stale_) {
    FailWithoutResponse("configuration too old to exclude withdrawn keys");
    return;
  }
  if (accepts_requests && TimeLeft(BootClock::now()) > Millis(0)) {
    ++history_.failed_connects;
    dispatcher_.state().health().RecordFailure(server, failure,
                                               BootClock::now());
    LogAttemptFailed(head_.id, server, {"no connection", "no", std::nullopt});
  }
  tried_.push_back(server);
  if (!TryAnotherServer())
    FailWithoutResponse("the request could not be sent to a backend server");
}

void Exchange::OnInterrupted() {
  const BackendId server = attempt_->server().id;
  // The server may close an idle connection at any time; that does not count as
  // a failure of the server.
  const bool stale_connection = attempt_->reused() && reply_head_.status == 0;
  const Instant now = BootClock::now();
  const bool may_have_run = now - sent_at_ > kStaleConnectionErrorTime;
  // A server may run a request and lose the response. Usage is therefore
  // counted unless the failure came as early as on a stale connection.
  if (may_have_run)
    CountUsageOnce();
  if (may_have_run && engine_)
    dispatcher_.state().poison_parts().RecordCrash(head_.prompt, server, now);
  ReleaseAttempt();
  ++history_.possible_runs;
  tried_.push_back(server);
  if (!stale_connection)
    dispatcher_.state().health().RecordFailure(server,
                                               ServerFailure::kNoResponse, now);
  LogAttemptFailed(
      head_.id, server,
      {"no complete, sealed response", "unknown", reply_head_.status});
  framer_.DropPartialEvent();
  if (!TryAnotherServer())
    FailWithoutResponse("no complete, sealed response from the backend server");
}

void Exchange::OnRefusedByServer() {
  const BackendId server = attempt_->server().id;
  ReleaseAttempt();
  ++history_.refusals;
  tried_.push_back(server);
  if (reply_head_.status == kMisdirected)
    dispatcher_.state().health().RecordFailure(server, ServerFailure::kReplaced,
                                               BootClock::now());
  LogAttemptFailed(head_.id, server, {"refused", "no", reply_head_.status});
  if (!TryAnotherServer())
    FailWithoutResponse(
        "all backend servers that were tried refused the request");
}

void Exchange::OnComplete() {
  const BackendId server = attempt_->server().id;
  const bool success = StatusClass(reply_head_.status) == 2;
  if (body_mode_ == BodyMode::kDiscard ||
      (body_mode_ == BodyMode::kForward && !framer_.at_boundary())) {
    OnInterrupted();
    return;
  }
  const Instant now = BootClock::now();
  if (!generating_)
    dispatcher_.state().health().RecordSuccess(server, ToMillis(now - sent_at_),
                                               admitted_.route->target_latency);
  if (success && engine_)
    dispatcher_.state().poison_parts().RecordServed(head_.prompt, now);
  ReleaseAttempt();
  ++history_.possible_runs;
  tried_.push_back(server);
  const bool failed = StatusClass(reply_head_.status) == 5;
  if (failed && !history_.reply_started && TryAnotherServer())
    return;
  if (!history_.reply_started && !MayRepeat(admitted_.route->kind) &&
      PromisesNotRun(reply_head_.status)) {
    Refuse(http::status::bad_gateway,
           "the backend server refused without stating that it did not run");
    return;
  }
  if (history_.reply_started) {
    EndRequest("passed on");
    reply_->Finish();
    return;
  }
  http::response<http::string_body> response;
  RemoveHopByHopHeaders(reply_header_);
  response.base() = reply_header_;
  response.body() = std::move(buffered_body_);
  EndRequest(success ? "passed on" : "failure passed on");
  reply_->Send(std::move(response));
}

bool Exchange::TryAnotherServer() {
  if (ended_ || !MayRetry(*admitted_.route, history_) ||
      TimeLeft(BootClock::now()) <= Millis(0) ||
      dispatcher_.UntriedBackends(pool_, tried_).empty())
    return false;
  const bool is_retry = history_.possible_runs + history_.refusals > 0;
  if (is_retry && !dispatcher_.TryConsumeRetry(pool_))
    return false;
  // Posted, because the call stack still contains the attempt that ended.
  asio::post(dispatcher_.context(),
             [self = shared_from_this()] { self->SelectBackend(); });
  return true;
}

void Exchange::FailWithoutResponse(std::string_view reason) {
  if (history_.reply_started) {
    EndRequest("broken off");
    reply_->Abort();
    return;
  }
  if (history_.possible_runs == 0)
    RefuseTemporarily(reason);
  else
    Refuse(http::status::bad_gateway, reason);
}

void Exchange::OnDeadline() {
  const bool sent = attempt_ && attempt_->sent();
  if (attempt_) {
    attempt_->Cancel();
    ReleaseAttempt();
  }
  if (sent)
    ++history_.possible_runs;
  if (history_.reply_started)
    FailWithoutResponse("the request deadline has passed");
  else if (history_.possible_runs > 0)
    Refuse(http::status::gateway_timeout, "the request deadline has passed");
  else
    RefuseTemporarily("the request deadline has passed");
}

void Exchange::OnResponseTimeout() {
  AttemptHistory after = history_;
  ++after.possible_runs;
  if (!MayRetry(*admitted_.route, after) || !dispatcher_.TryConsumeRetry(pool_))
    return;
  const BackendId server = attempt_->server().id;
  attempt_->Cancel();
  ReleaseAttempt();
  history_ = after;
  tried_.push_back(server);
  dispatcher_.state().health().RecordFailure(server, ServerFailure::kNoResponse,
                                             BootClock::now());
  LogAttemptFailed(head_.id, server, {"silence", "unknown", std::nullopt});
  SelectBackend();
}

void Exchange::OnCallerGone() {
  if (ended_)
    return;
  if (attempt_) {
    attempt_->Cancel();
    ReleaseAttempt();
  }
  EndRequest("the caller left");
}

void Exchange::ReleaseAttempt() {
  if (!attempt_)
    return;
  dispatcher_.state().loads().EndRequest(attempt_->server().id, load_,
                                         generating_);
  if (engine_) {
    const Instant now = BootClock::now();
    const bool gave_up =
        ToMillis(now - sent_at_) >= admitted_.route->target_latency;
    if (!generating_ && gave_up)
      RecordFirstTokenLatency(now);
    dispatcher_.concurrency_limit(pool_).Remove(admitted_.urgency);
  }
  attempt_.reset();
  dispatcher_.WakeOne(pool_);
}

void Exchange::Refuse(http::status status, std::string_view reason) {
  http::response<http::string_body> response(status, kHttp11);
  LogRefused(head_.id, RouteName(),
             {response.result_int(), reason, history_, std::nullopt});
  EndRequest("refused");
  reply_->Send(std::move(response));
}

void Exchange::RefuseTemporarily(std::string_view reason) {
  const Instant now = BootClock::now();
  const Millis left =
      head_.time_limit ? *head_.time_limit - ToMillis(now - request_.received)
                       : Millis(1000);
  RefuseTemporarily(reason, RetryAfter(left, dispatcher_.Random()));
}

void Exchange::RefuseTemporarily(std::string_view reason, Millis retry_after) {
  http::response<http::string_body> response(http::status::service_unavailable,
                                             kHttp11);
  response.set(http::field::retry_after, FormatSeconds(retry_after));
  LogRefused(head_.id, RouteName(),
             {response.result_int(), reason, history_, retry_after});
  EndRequest("refused");
  reply_->Send(std::move(response));
}

void Exchange::EndRequest(std::string_view outcome) {
  ended_ = true;
  LeaveWaitQueue();
  deadline_timer_.cancel();
  step_timer_.cancel();
  reply_->SetCallerGoneHandler(nullptr);
  dispatcher_.metrics().Increment(
      "bamboomount_requests_total",
      {{"route", RouteName()}, {"outcome", std::string(outcome)}});
  if (outcome != "refused")
    LogEnded(head_.id,
             {outcome, reply_head_.status, time_to_first_bytes_, longest_pause_,
              ToMillis(BootClock::now() - request_.received)});
}

std::string Exchange::RouteName() const {
  return admitted_.route ? admitted_.route->name : "";
}

Millis Exchange::TimeLeft(Instant now) const {
  return ToMillis(deadline_ - now);
}

}  // namespace bamboomount
