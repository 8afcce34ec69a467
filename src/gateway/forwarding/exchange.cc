#include "gateway/forwarding/exchange.h"

#include <algorithm>
#include <utility>

#include "gateway/admission_rules.h"
#include "gateway/forwarding/fleet_admission.h"
#include "gateway/forwarding/forwarded_head.h"
#include "gateway/forwarding/request_log.h"
#include "gateway/forwarding/server_signals.h"
#include "gateway/relay/relay_peers.h"

namespace bamboomount {
namespace {

constexpr unsigned kHttp11 = 11;
// Misdirected Request (RFC 9110, 15.5.20).
constexpr unsigned kMisdirected = 421;
// Subtracted from the caller's time limit, which starts when the caller sends
// the request, not when it arrives here.
constexpr Millis kCallerTransitTime{3};
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
  constexpr unsigned kServiceUnavailable = 503;
  return status == kRequestTimeout || status == kTooManyRequests ||
         status == kServiceUnavailable;
}

}  // namespace

Exchange::Exchange(Dispatcher& dispatcher,
                   IncomingRequest request,
                   std::shared_ptr<CallerReply> reply)
    : dispatcher_(dispatcher),
      request_(std::move(request)),
      reply_(std::move(reply)),
      stream_(dispatcher, head_, admitted_),
      search_(dispatcher, *this),
      retries_(dispatcher),
      relay_(reply_, request_.received),
      deadline_timer_(dispatcher.context()),
      response_timer_(dispatcher.context()) {}

Exchange::~Exchange() = default;

void Exchange::Start() {
  if (!Admit())
    return;
  Millis limit = admitted_.route->timeout;
  if (head_.time_limit)
    limit = std::min(limit, *head_.time_limit - kCallerTransitTime);
  deadline_ = request_.received + limit;
  reply_->SetCallerGoneHandler(
      [self = shared_from_this()] { self->OnCallerGone(); });
  reply_->SetEndHandler([self = shared_from_this()] {
    if (!self->ended_)
      self->GiveUp("the instance stops");
  });
  deadline_timer_.expires_after(
      std::max(Millis(0), TimeLeft(BootClock::now())));
  deadline_timer_.async_wait(
      [self = shared_from_this()](const error_code& error) {
        if (!error && !self->ended_)
          self->GiveUp("the request deadline has passed");
      });
  pool_ = admitted_.route->ChoosePool(dispatcher_.Random());
  if (stream_.IsResume())
    LocateStream();
  else
    BeginInPool(pool_);
}

void Exchange::LocateStream() {
  stream_.Locate([self = shared_from_this()](const auto& origin) {
    if (!self->ended_)
      self->OnStreamLocated(origin);
  });
}

void Exchange::OnStreamLocated(const std::optional<StreamOrigin>& origin) {
  if (const auto obstacle = stream_.BindTo(origin))
    RefuseTemporarily(*obstacle);
  else
    BeginInPool(origin->pool);
}

void Exchange::BeginInPool(const PoolId& pool) {
  pool_ = pool;
  const Pool* rule = admitted_.policy->FindPool(pool_);
  engine_ = rule && rule->engine ? &*rule->engine : nullptr;
  if (const auto instance = FindRelay()) {
    Relay(*instance);
    return;
  }
  dispatcher_.CountRequest(pool_);
  if (rule && RefuseIfExcess(*rule))
    return;
  FindServer();
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

bool Exchange::RefuseIfExcess(const Pool& pool) {
  cost_ = CostQueryFor(head_.prompt, admitted_, pool);
  const auto retry_after =
      RefuseExcess(dispatcher_, cost_, admitted_, TimeLeft(BootClock::now()));
  if (retry_after)
    RefuseTemporarily("the demand exceeds the capacity of the pool",
                      *retry_after);
  return retry_after.has_value();
}

ServerSearchRequest Exchange::SearchRequest() const {
  return {head_.prompt, admitted_,         pool_,
          engine_,      request_.received, deadline_};
}

void Exchange::FindServer() {
  if (ended_)
    return;
  if (MustAwaitProbes())
    dispatcher_.reachability().WhenDecided(
        [self = shared_from_this()] { self->FindServer(); });
  else if (const auto instance = FindRelay())
    Relay(*instance);
  else
    search_.Find(SearchRequest(), retries_.tried(), shared_from_this());
}

bool Exchange::MustAwaitProbes() {
  return retries_.history().failed_connects > 0 &&
         dispatcher_.reachability().IsDeciding();
}

std::optional<BackendServer> Exchange::FindRelay() {
  if (request_.relayed || relay_.started() ||
      !dispatcher_.reachability().IsCutOff())
    return std::nullopt;
  return ChooseRelay(dispatcher_.state(), retries_.tried(),
                     dispatcher_.Random(), BootClock::now());
}

void Exchange::Relay(const BackendServer& instance) {
  LogRelayed(head_.id, instance.id);
  dispatcher_.metrics().Increment("bamboomount_relayed_requests_total",
                                  {{"route", admitted_.route->name}});
  BeginAttempt(instance);
}

void Exchange::OnWoken() {
  FindServer();
}

void Exchange::OnNoServer(std::string_view reason) {
  if (!ended_)
    FailWithoutResponse(reason);
}

void Exchange::OnPoisonousPrompt(Millis retry_after) {
  constexpr std::string_view kReason =
      "a part of the prompt crashes backend servers";
  if (relay_.started() || retries_.history().possible_runs > 0)
    FailWithoutResponse(kReason);
  else
    RefuseTemporarily(kReason, retry_after);
}

AttemptLoad::Request Exchange::LoadRequest(const PrefixPlan& prefix) const {
  const bool urgent = SearchRequest().IsUrgent();
  return {
      pool_,
      engine_,
      admitted_.urgency,
      urgent,
      admitted_.route->target_latency,
      {prefix.prefill_tokens, engine_ && head_.prompt.HasLongAnswer(), urgent}};
}

void Exchange::OnServerFound(const BackendServer& server) {
  if (ended_)
    return;
  const Instant now = BootClock::now();
  GatewayState& state = dispatcher_.state();
  const PrefixPlan prefix = state.selector().PlanPrefix(
      server, ServerSearch::MakePlacementRequest(SearchRequest(), state), now);
  copy_prefix_from_ = prefix.copy_from ? prefix.copy_from->address : "";
  load_.emplace(dispatcher_, server, LoadRequest(prefix), now);
  state.selector().RecordPrefixSent(server, head_.prompt, now);
  state.cold_pacer().RecordSent(server.id, now);
  LogPlaced(head_, admitted_,
            {server.id, state.loads().Total(server.id).requests,
             prefix.prefill_tokens,
             prefix.copy_from ? prefix.copy_from->id : BackendId(),
             state.freshness().Age(now)});
  dispatcher_.reachability().RecordSent(now);
  ArmResponseTimer();
  BeginAttempt(server);
  // There may be room for the next waiting request as well.
  if (engine_)
    asio::post(dispatcher_.context(), [self = shared_from_this()] {
      self->dispatcher_.WakeOne(self->pool_);
    });
}

void Exchange::BeginAttempt(const BackendServer& target) {
  relay_.BeginAttempt();
  attempt_ = std::make_shared<BackendAttempt>(
      dispatcher_.environment(), target,
      BackendAttempt::Options{head_.id,
                              request_.message.method() == http::verb::head,
                              !MayRepeat(admitted_.route->kind)},
      *this);
  // A copy, because the attempt may end within Start and reset the member.
  const auto attempt = attempt_;
  attempt->Start();
}

void Exchange::ArmResponseTimer() {
  response_timer_.cancel();
  if (admitted_.route->kind != RequestKind::kIdempotent)
    return;
  const auto response_timeout = std::chrono::duration_cast<Millis>(
      admitted_.route->target_latency * kResponseTimeoutFraction);
  response_timer_.expires_after(response_timeout);
  response_timer_.async_wait(
      [self = shared_from_this(), attempt = attempt_](const error_code& error) {
        if (!error && !self->ended_ && self->attempt_ == attempt)
          self->OnResponseTimeout();
      });
}

std::optional<std::string> Exchange::PrepareHead() {
  const Instant now = BootClock::now();
  const Millis left = TimeLeft(now);
  if (ended_ || left <= Millis(0))
    return std::nullopt;
  if (IsRelaying())
    return EncodeRelayedHead(request_.message,
                             {left, dispatcher_.state().settings().instance},
                             dispatcher_.protocol());
  const BackendServer& server = attempt_->server();
  // The server may have started to leave, or asked for a pause, while the
  // connection was being set up.
  if (!stream_.Accepts(server))
    return std::nullopt;
  if (!admitted_.customer.empty() && !dispatcher_.state().KeysAreCurrent(now)) {
    keys_stale_ = true;
    return std::nullopt;
  }
  stream_.RecordSent();
  ForwardingHead head{left,         server.id,         admitted_.customer,
                      std::nullopt, copy_prefix_from_, relay_.last_event_id()};
  if (engine_)
    head.urgency =
        Urgency{admitted_.urgency, admitted_.policy->urgency_levels()};
  return EncodeForwardedHead(request_.message, head, dispatcher_.protocol());
}

void Exchange::OnReplyHead(const http::response_header<>& header,
                           const ReplyHead& head,
                           std::optional<std::uint64_t> content_length) {
  response_timer_.cancel();
  relay_.OnHead(header, head, content_length, admitted_.route->kind);
  if (IsRelaying())
    return;
  dispatcher_.reachability().RecordBytes();
  ApplyServerSignals(dispatcher_, attempt_->server(), head_.id, head);
  load_->RecordHead(head, BootClock::now());
  if (!StatesNotRun(head))
    CountUsageOnce();
}

bool Exchange::OnReplyBody(std::string_view piece) {
  if (!IsRelaying()) {
    dispatcher_.reachability().RecordBytes();
    if (relay_.forwards())
      RecordFirstBytes();
  }
  const ResponseRelay::Step step = relay_.OnBody(piece, BootClock::now());
  if (relay_.started())
    retries_.RecordReplyStarted();
  if (ended_)
    return false;
  if (relay_.started() && !IsRelaying())
    stream_.RecordBegin(pool_, attempt_->server());
  switch (step) {
    case ResponseRelay::Step::kContinue:
      return true;
    case ResponseRelay::Step::kPause:
      ResumeWhenDrained();
      return false;
    case ResponseRelay::Step::kAbandon:
      AbandonReply();
      return false;
  }
  return true;
}

void Exchange::ResumeWhenDrained() {
  reply_->WhenDrained([self = shared_from_this(), attempt = attempt_] {
    if (!self->ended_ && self->attempt_ == attempt)
      attempt->Resume();
  });
}

void Exchange::AbandonReply() {
  attempt_->Cancel();
  OnAttemptEnd(AttemptOutcome::kInterrupted);
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
  const Instant now = BootClock::now();
  if (load_->RecordFirstBytes(now))
    dispatcher_.metrics().Observe("bamboomount_first_bytes_seconds",
                                  {{"route", admitted_.route->name}},
                                  now - request_.received);
}

void Exchange::OnAttemptEnd(AttemptOutcome outcome) {
  const auto self = shared_from_this();
  if (ended_)
    return;
  response_timer_.cancel();
  if (IsRelaying()) {
    OnRelayEnd(outcome);
    return;
  }
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
      if (StatesNotRun(relay_.head()))
        OnRefusedByServer();
      else
        OnComplete();
      return;
  }
}

void Exchange::OnRelayEnd(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kNotSent:
    case AttemptOutcome::kConnectionRefused:
      OnRelayNotSent();
      return;
    case AttemptOutcome::kInterrupted:
      OnRelayInterrupted();
      return;
    case AttemptOutcome::kComplete:
      if (StatesNotRun(relay_.head()))
        OnRelayRefused();
      else if (relay_.IsCompleteAnswer())
        OnRelayComplete();
      else
        OnRelayInterrupted();
      return;
  }
}

void Exchange::OnRelayNotSent() {
  const BackendId instance = attempt_->server().id;
  ReleaseAttempt();
  retries_.RecordFailedConnect(instance);
  LogAttemptFailed(head_.id, instance, {"no connection", "no", std::nullopt});
  if (!TryAnotherServer())
    FailWithoutResponse("the request could not be sent to another instance");
}

void Exchange::OnRelayRefused() {
  const BackendId instance = attempt_->server().id;
  ReleaseAttempt();
  retries_.RecordRefusal(instance);
  LogAttemptFailed(head_.id, instance, {"refused", "no", relay_.head().status});
  if (!TryAnotherServer())
    FailWithoutResponse("all instances that were tried refused the request");
}

// The other instance may have used all attempts of the route, so that the
// request is not sent again whatever its kind.
void Exchange::OnRelayInterrupted() {
  const BackendId instance = attempt_->server().id;
  ReleaseAttempt();
  retries_.RecordPossibleRun(instance);
  LogAttemptFailed(
      head_.id, instance,
      {"no complete, sealed response", "unknown", relay_.head().status});
  FailWithoutResponse("no complete, sealed response from another instance");
}

void Exchange::OnRelayComplete() {
  const BackendId instance = attempt_->server().id;
  const unsigned status = relay_.head().status;
  ReleaseAttempt();
  retries_.RecordPossibleRun(instance);
  EndRequest(StatusClass(status) == 2 || relay_.started()
                 ? "passed on"
                 : "failure passed on");
  relay_.Finish();
}

void Exchange::OnNotSent(ServerFailure failure) {
  const BackendId server = attempt_->server().id;
  const bool accepts_requests = stream_.Accepts(attempt_->server());
  ReleaseAttempt();
  if (keys_stale_) {
    FailWithoutResponse("configuration too old to exclude withdrawn keys");
    return;
  }
  const Instant now = BootClock::now();
  if (accepts_requests && TimeLeft(now) > Millis(0)) {
    retries_.RecordFailedConnect(server);
    dispatcher_.state().health().RecordFailure(server, failure, now);
    dispatcher_.RecordUnreachable(server, pool_, now);
    dispatcher_.reachability().RecordFailedConnect(server, now);
    LogAttemptFailed(head_.id, server, {"no connection", "no", std::nullopt});
  } else {
    retries_.RecordNotSent(server);
  }
  if (!TryAnotherServer())
    FailWithoutResponse("the request could not be sent to a backend server");
}

void Exchange::OnInterrupted() {
  const BackendId server = attempt_->server().id;
  // The server may close an idle connection at any time; that does not count as
  // a failure of the server.
  const bool stale_connection = attempt_->reused() && relay_.head().status == 0;
  const Instant now = BootClock::now();
  const bool may_have_run = now - load_->sent_at() > kStaleConnectionErrorTime;
  // A server may run a request and lose the response. Usage is therefore
  // counted unless the failure came as early as on a stale connection.
  if (may_have_run)
    CountUsageOnce();
  if (may_have_run && engine_)
    dispatcher_.state().poison_parts().RecordCrash(head_.prompt, server, now);
  if (may_have_run && relay_.head().status == 0)
    dispatcher_.RecordUnreachable(server, pool_, now);
  ReleaseAttempt();
  retries_.RecordPossibleRun(server);
  if (relay_.head().status == 0)
    dispatcher_.reachability().RecordFailedConnect(server, now);
  if (!stale_connection)
    dispatcher_.state().health().RecordFailure(server,
                                               ServerFailure::kNoResponse, now);
  LogAttemptFailed(
      head_.id, server,
      {"no complete, sealed response", "unknown", relay_.head().status});
  relay_.DropPartialEvent();
  if (!TryAnotherServer())
    FailWithoutResponse("no complete, sealed response from the backend server");
}

void Exchange::OnRefusedByServer() {
  const BackendId server = attempt_->server().id;
  const unsigned status = relay_.head().status;
  ReleaseAttempt();
  retries_.RecordRefusal(server);
  if (status == kMisdirected)
    dispatcher_.state().health().RecordFailure(server, ServerFailure::kReplaced,
                                               BootClock::now());
  LogAttemptFailed(head_.id, server, {"refused", "no", status});
  if (!TryAnotherServer())
    FailWithoutResponse(
        "all backend servers that were tried refused the request");
}

void Exchange::OnComplete() {
  if (!relay_.IsCompleteAnswer()) {
    OnInterrupted();
    return;
  }
  const BackendId server = attempt_->server().id;
  const unsigned status = relay_.head().status;
  const bool success = StatusClass(status) == 2;
  const Instant now = BootClock::now();
  load_->RecordComplete(now);
  if (success)
    dispatcher_.state().cost_model().RecordAnswer(
        cost_, ToMillis(now - load_->sent_at()), load_->server_was_full());
  if (success && engine_)
    dispatcher_.state().poison_parts().RecordServed(head_.prompt, now);
  ReleaseAttempt();
  retries_.RecordPossibleRun(server);
  const bool failed = StatusClass(status) == 5;
  if (failed && !relay_.started() && TryAnotherServer())
    return;
  if (!relay_.started() && !MayRepeat(admitted_.route->kind) &&
      PromisesNotRun(status)) {
    Refuse(http::status::bad_gateway,
           "the backend server refused without stating that it did not run");
    return;
  }
  EndRequest(success || relay_.started() ? "passed on" : "failure passed on");
  relay_.Finish();
}

bool Exchange::TryAnotherServer() {
  if (ended_ || TimeLeft(BootClock::now()) <= Millis(0) ||
      !stream_.KnowsServers() ||
      !retries_.TryRetry(admitted_, pool_, FindRelay().has_value()))
    return false;
  // Posted, because the call stack still contains the attempt that ended.
  asio::post(dispatcher_.context(),
             [self = shared_from_this()] { self->FindServer(); });
  return true;
}

void Exchange::FailWithoutResponse(std::string_view reason) {
  if (relay_.started()) {
    EndRequest("broken off");
    reply_->Abort();
    return;
  }
  if (retries_.history().possible_runs == 0)
    RefuseTemporarily(reason);
  else
    Refuse(http::status::bad_gateway, reason);
}

void Exchange::GiveUp(std::string_view reason) {
  if (attempt_) {
    const BackendId server = attempt_->server().id;
    const bool sent = attempt_->sent();
    attempt_->Cancel();
    ReleaseAttempt();
    if (sent)
      retries_.RecordPossibleRun(server);
  }
  if (relay_.started() || retries_.history().possible_runs == 0)
    FailWithoutResponse(reason);
  else
    Refuse(http::status::gateway_timeout, reason);
}

void Exchange::OnResponseTimeout() {
  if (!retries_.TryReplaceAttempt(*admitted_.route, pool_))
    return;
  const BackendId server = attempt_->server().id;
  attempt_->Cancel();
  ReleaseAttempt();
  retries_.RecordPossibleRun(server);
  dispatcher_.state().health().RecordFailure(server, ServerFailure::kNoResponse,
                                             BootClock::now());
  LogAttemptFailed(head_.id, server, {"silence", "unknown", std::nullopt});
  FindServer();
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
  if (load_)
    load_->Release(BootClock::now());
  load_.reset();
  attempt_.reset();
  dispatcher_.WakeOne(pool_);
}

void Exchange::Refuse(http::status status, std::string_view reason) {
  http::response<http::string_body> response(status, kHttp11);
  LogRefused(head_.id, RouteName(),
             {response.result_int(), reason, retries_.history(), std::nullopt});
  EndRequest("refused");
  SendOwnReply(std::move(response));
}

void Exchange::SendOwnReply(http::response<http::string_body> response) {
  if (request_.relayed)
    dispatcher_.protocol().EncodeOwnReply(
        head_.id, retries_.history().possible_runs == 0, response);
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
             {response.result_int(), reason, retries_.history(), retry_after});
  EndRequest("refused");
  SendOwnReply(std::move(response));
}

void Exchange::EndRequest(std::string_view outcome) {
  ended_ = true;
  search_.Cancel();
  deadline_timer_.cancel();
  response_timer_.cancel();
  reply_->SetCallerGoneHandler(nullptr);
  reply_->SetEndHandler(nullptr);
  dispatcher_.metrics().Increment(
      "bamboomount_requests_total",
      {{"route", RouteName()}, {"outcome", std::string(outcome)}});
  if (outcome != "refused")
    LogEnded(head_.id, {outcome, relay_.head().status,
                        relay_.time_to_first_bytes(), relay_.longest_pause(),
                        ToMillis(BootClock::now() - request_.received)});
}

std::string Exchange::RouteName() const {
  return admitted_.route ? admitted_.route->name : "";
}

Millis Exchange::TimeLeft(Instant now) const {
  return ToMillis(deadline_ - now);
}

}  // namespace bamboomount
