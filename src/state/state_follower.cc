#include "state/state_follower.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "state/events.h"
#include "telemetry/telemetry.h"

namespace bamboomount {
namespace {

// Maximum number of changes held while their predecessors are missing. Beyond
// it the highest sequence is dropped and fetched from the store later.
constexpr std::size_t kMaxPendingChanges = 256;
// Maximum number of changes retained for peers. A configuration at the target
// size takes 276 kB (state_benchmark), hence at most 9 MB of the 32 MB that the
// control state may use on a node.
constexpr std::size_t kMaxRecentChanges = 32;
// Delay before a gap is fetched from the store. Pushes that arrived out of
// order usually fill it in the meantime.
constexpr Millis kGapFetchDelay{100};

}  // namespace

StateFollower::StateFollower(ChangeLog& log,
                             ControlStateHolder& holder,
                             FollowerOptions options)
    : log_(log),
      holder_(holder),
      options_(std::move(options)),
      rule_(options_.self, options_.freshness_window) {}

StateFollower::~StateFollower() {
  Stop();
}

void StateFollower::Start() {
  thread_ = std::thread([this] { Run(); });
}

void StateFollower::Stop() {
  {
    const std::lock_guard lock(run_mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  if (thread_.joinable())
    thread_.join();
}

Result<void> StateFollower::PollOnce() {
  // Taken before the request, since the log may grow while it is in progress.
  const BootTime requested_at = options_.now();
  const auto caught_up =
      log_.CatchUp(holder_.current(), options_.store_timeout);
  if (caught_up)
    Advance(caught_up.value().state);
  RecordPollResult(caught_up, requested_at);
  if (!caught_up)
    return caught_up.error();
  for (const Change& change : caught_up.value().changes)
    RetainRecentChange(change);
  while (ApplyNextPendingChange()) {
  }
  if (caught_up.value().interruption)
    return *caught_up.value().interruption;
  return Success();
}

void StateFollower::OfferChange(const Change& change) {
  const ChangeSequence current_sequence = holder_.current()->sequence;
  if (const auto* snapshot = std::get_if<StateSnapshot>(&change.body)) {
    if (change.sequence > current_sequence)
      OfferSnapshot(change, *snapshot);
    return;
  }
  // This process may have appended the change and applied it already. It is
  // still retained, since peers may request it.
  if (change.sequence == current_sequence)
    RetainRecentChange(change);
  if (change.sequence <= current_sequence)
    return;
  {
    const std::lock_guard lock(changes_mutex_);
    pending_.try_emplace(change.sequence, change);
    if (pending_.size() > kMaxPendingChanges)
      pending_.erase(std::prev(pending_.end()));
  }
  while (ApplyNextPendingChange()) {
  }
  const ChangeSequence applied_sequence = holder_.current()->sequence;
  if (change.sequence <= applied_sequence)
    return;
  gap_listener_(applied_sequence);
  {
    const std::lock_guard lock(run_mutex_);
    gap_detected_ = true;
  }
  wake_.notify_all();
}

void StateFollower::OfferSnapshot(const Change& change,
                                  const StateSnapshot& body) {
  auto state = DecodeControlState(body.encoded);
  if (!state) {
    Log(kChangeNotApplicable,
        {{"sequence", std::to_string(change.sequence.value())},
         {"reason", state.error().message}});
    return;
  }
  OfferState(std::make_shared<const ControlState>(std::move(state).value()));
}

void StateFollower::OfferState(std::shared_ptr<const ControlState> state) {
  Advance(std::move(state));
  while (ApplyNextPendingChange()) {
  }
}

std::vector<Change> StateFollower::ChangesAfter(ChangeSequence sequence) const {
  const auto state = holder_.current();
  if (state->sequence <= sequence)
    return {};
  {
    const std::lock_guard lock(changes_mutex_);
    const auto next =
        std::find_if(recent_.begin(), recent_.end(), [&](const Change& change) {
          return change.sequence == sequence + ChangeSequence(1);
        });
    if (next != recent_.end() && recent_.back().sequence >= state->sequence)
      return {next, recent_.end()};
  }
  Change snapshot;
  snapshot.sequence = state->sequence;
  snapshot.body = StateSnapshot{EncodeControlState(*state)};
  return {std::move(snapshot)};
}

void StateFollower::SetGapListener(GapListener listener) {
  gap_listener_ = std::move(listener);
}

void StateFollower::OnInstanceList(std::set<InstanceId> instances) {
  const std::lock_guard lock(rule_mutex_);
  rule_.OnInstanceList(std::move(instances));
}

void StateFollower::OnPeerReport(const InstanceId& peer,
                                 const PeerReport& report,
                                 BootTime earliest_sent_at) {
  const std::lock_guard lock(rule_mutex_);
  rule_.OnPeerReport(peer, report, earliest_sent_at);
}

Freshness StateFollower::freshness() const {
  const auto sequence = holder_.current()->sequence;
  const std::lock_guard lock(rule_mutex_);
  return rule_.Check(sequence, options_.now());
}

std::optional<BootTime> StateFollower::confirmation_age() const {
  const auto sequence = holder_.current()->sequence;
  const std::lock_guard lock(rule_mutex_);
  return rule_.ConfirmationAge(sequence, options_.now());
}

bool StateFollower::store_reachable() const {
  const std::lock_guard lock(rule_mutex_);
  return store_reachable_;
}

void StateFollower::Run() {
  Freshness last = Freshness::kConfirmed;
  while (true) {
    // PollOnce logs its failures.
    (void)PollOnce();
    const Freshness now = freshness();
    if (std::exchange(last, now) != now)
      Log(kFreshnessChanged, {{"basis", std::string(ToString(now))}});
    std::unique_lock lock(run_mutex_);
    const bool woken = wake_.wait_for(
        lock, NextPollDelay(), [this] { return stopping_ || gap_detected_; });
    if (woken && !stopping_)
      wake_.wait_for(lock, kGapFetchDelay, [this] { return stopping_; });
    gap_detected_ = false;
    if (stopping_)
      return;
  }
}

Millis StateFollower::NextPollDelay() {
  std::uniform_real_distribution<double> factor(1 - options_.jitter,
                                                1 + options_.jitter);
  return std::chrono::duration_cast<Millis>(options_.poll_interval *
                                            factor(random_));
}

// Applies the next pending change; returns false if there is none or it cannot
// be applied. No lock is held while the state is replaced, since listeners may
// call ChangesAfter.
bool StateFollower::ApplyNextPendingChange() {
  const auto state = holder_.current();
  std::optional<Change> change;
  {
    const std::lock_guard lock(changes_mutex_);
    pending_.erase(pending_.begin(), pending_.upper_bound(state->sequence));
    const auto found = pending_.find(state->sequence + ChangeSequence(1));
    if (found == pending_.end())
      return false;
    change = std::move(found->second);
    pending_.erase(found);
  }
  auto next = ApplyChange(*state, *change);
  if (!next) {
    Log(kChangeNotApplicable,
        {{"sequence", std::to_string(change->sequence.value())},
         {"reason", next.error().message}});
    return false;
  }
  RetainRecentChange(*change);
  Advance(std::make_shared<const ControlState>(std::move(next).value()));
  return true;
}

void StateFollower::Advance(std::shared_ptr<const ControlState> state) {
  const auto sequence = state->sequence;
  if (!holder_.Advance(std::move(state)))
    return;
  Log(kStateAdvanced, {{"sequence", std::to_string(sequence.value())}});
}

void StateFollower::RetainRecentChange(const Change& change) {
  const std::lock_guard lock(changes_mutex_);
  if (!recent_.empty()) {
    const auto next = recent_.back().sequence + ChangeSequence(1);
    if (change.sequence < next)
      return;
    if (change.sequence > next)
      recent_.clear();
  }
  recent_.push_back(change);
  if (recent_.size() > kMaxRecentChanges)
    recent_.pop_front();
}

void StateFollower::RecordPollResult(const Result<CatchUpResult>& caught_up,
                                     BootTime requested_at) {
  const bool responded =
      caught_up || caught_up.error().code != ErrorCode::kStoreUnavailable;
  bool was_unavailable = false;
  {
    const std::lock_guard lock(rule_mutex_);
    was_unavailable = std::exchange(store_unavailable_, !responded);
    store_reachable_ = responded;
    if (!responded)
      rule_.OnStoreUnavailable();
    else if (caught_up)
      rule_.OnStoreResponse(caught_up.value().head, requested_at);
  }
  if (!responded && !was_unavailable)
    Log(kStorePollFailed, {{"reason", caught_up.error().message}});
  if (responded && was_unavailable)
    Log(kStorePollRecovered);
  if (responded)
    RecordCatchUpFailure(caught_up);
}

// A state that cannot follow the log fails in the same way at each poll, so the
// failure is logged only when its reason changes.
void StateFollower::RecordCatchUpFailure(
    const Result<CatchUpResult>& caught_up) {
  std::optional<Error> failure;
  if (!caught_up)
    failure = caught_up.error();
  else if (caught_up.value().interruption &&
           caught_up.value().interruption->code != ErrorCode::kStoreUnavailable)
    failure = caught_up.value().interruption;
  const std::string reason = failure ? failure->message : std::string();
  {
    const std::lock_guard lock(rule_mutex_);
    if (std::exchange(catch_up_failure_, reason) == reason)
      return;
  }
  if (failure)
    Log(caught_up ? kChangeNotApplicable : kLogShorterThanState,
        {{"reason", reason}});
}

}  // namespace bamboomount
