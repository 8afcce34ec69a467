#include "state/state_follower.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "state/events.h"
#include "telemetry/telemetry.h"

namespace bamboomount {
namespace {

// Bound on early changes; a longer gap is fetched from the store instead.
constexpr std::size_t kMaxPending = 256;
// Bound on changes kept for peers. A configuration at the target size takes
// 276 kB (state_benchmark), hence 9 MB of the 32 MB that control has on a node.
constexpr std::size_t kMaxRecent = 32;
// Wait before a gap is fetched: pushes that overtook each other fill it.
constexpr Millis kGapPause{100};

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
  // The time before the question, since the log may grow while it is answered.
  const BootTime asked_at = options_.now();
  const auto caught_up =
      log_.CatchUp(holder_.current(), options_.store_timeout);
  if (caught_up)
    Advance(caught_up.value().state);
  NoteAnswer(caught_up, asked_at);
  if (!caught_up)
    return caught_up.error();
  for (const Change& change : caught_up.value().changes)
    Keep(change);
  while (ApplyPending()) {
  }
  if (caught_up.value().interruption)
    return *caught_up.value().interruption;
  return Success();
}

void StateFollower::OfferChange(const Change& change) {
  const ChangeSequence in_force = holder_.current()->sequence;
  if (const auto* whole = std::get_if<WholeState>(&change.body)) {
    if (change.sequence > in_force)
      OfferWholeState(change, *whole);
    return;
  }
  // The state that this process just appended the change to is in force
  // already; peers may still ask for the change.
  if (change.sequence == in_force)
    Keep(change);
  if (change.sequence <= in_force)
    return;
  {
    const std::lock_guard lock(changes_mutex_);
    pending_.try_emplace(change.sequence, change);
    if (pending_.size() > kMaxPending)
      pending_.erase(std::prev(pending_.end()));
  }
  while (ApplyPending()) {
  }
  const ChangeSequence reached = holder_.current()->sequence;
  if (change.sequence <= reached)
    return;
  gap_listener_(reached);
  {
    const std::lock_guard lock(run_mutex_);
    gap_ = true;
  }
  wake_.notify_all();
}

void StateFollower::OfferWholeState(const Change& change,
                                    const WholeState& body) {
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
  while (ApplyPending()) {
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
  Change whole;
  whole.sequence = state->sequence;
  whole.body = WholeState{EncodeControlState(*state)};
  return {std::move(whole)};
}

void StateFollower::SetGapListener(GapListener listener) {
  gap_listener_ = std::move(listener);
}

void StateFollower::OnInstanceList(std::set<InstanceId> instances) {
  const std::lock_guard lock(rule_mutex_);
  rule_.OnInstanceList(std::move(instances));
}

void StateFollower::OnPeerHeard(const InstanceId& peer,
                                const PeerReport& state,
                                BootTime not_sent_before) {
  const std::lock_guard lock(rule_mutex_);
  rule_.OnPeerHeard(peer, state, not_sent_before);
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

bool StateFollower::store_answers() const {
  const std::lock_guard lock(rule_mutex_);
  return store_answered_;
}

void StateFollower::Run() {
  Freshness last = Freshness::kConfirmed;
  while (true) {
    // Failures are logged where they are noticed.
    (void)PollOnce();
    const Freshness now = freshness();
    if (std::exchange(last, now) != now)
      Log(kFreshnessChanged, {{"basis", std::string(ToString(now))}});
    std::unique_lock lock(run_mutex_);
    const bool woken =
        wake_.wait_for(lock, NextPause(), [this] { return stopping_ || gap_; });
    if (woken && !stopping_)
      wake_.wait_for(lock, kGapPause, [this] { return stopping_; });
    gap_ = false;
    if (stopping_)
      return;
  }
}

Millis StateFollower::NextPause() {
  std::uniform_real_distribution<double> factor(1 - options_.jitter,
                                                1 + options_.jitter);
  return std::chrono::duration_cast<Millis>(options_.poll_interval *
                                            factor(random_));
}

// Puts the next pending change in force; returns whether there was one. No lock
// is held while it takes effect, since listeners may ask for recent changes.
bool StateFollower::ApplyPending() {
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
  Keep(*change);
  Advance(std::make_shared<const ControlState>(std::move(next).value()));
  return true;
}

void StateFollower::Advance(std::shared_ptr<const ControlState> state) {
  const auto sequence = state->sequence;
  if (!holder_.Advance(std::move(state)))
    return;
  Log(kStateAdvanced, {{"sequence", std::to_string(sequence.value())}});
}

void StateFollower::Keep(const Change& change) {
  const std::lock_guard lock(changes_mutex_);
  if (!recent_.empty()) {
    const auto next = recent_.back().sequence + ChangeSequence(1);
    if (change.sequence < next)
      return;
    if (change.sequence > next)
      recent_.clear();
  }
  recent_.push_back(change);
  if (recent_.size() > kMaxRecent)
    recent_.pop_front();
}

void StateFollower::NoteAnswer(const Result<CaughtUp>& caught_up,
                               BootTime asked_at) {
  const bool answered =
      caught_up || caught_up.error().code != ErrorCode::kStoreUnavailable;
  bool was_silent = false;
  {
    const std::lock_guard lock(rule_mutex_);
    was_silent = std::exchange(store_silent_, !answered);
    store_answered_ = answered;
    if (!answered)
      rule_.OnStoreSilent();
    else if (caught_up)
      rule_.OnStoreAnswered(caught_up.value().head, asked_at);
  }
  if (!answered && !was_silent)
    Log(kStorePollFailed, {{"reason", caught_up.error().message}});
  if (answered && was_silent)
    Log(kStorePollRecovered);
  if (answered)
    NoteObstacle(caught_up);
}

// A state that cannot follow the log meets the same obstacle at each poll.
void StateFollower::NoteObstacle(const Result<CaughtUp>& caught_up) {
  std::optional<Error> obstacle;
  if (!caught_up)
    obstacle = caught_up.error();
  else if (caught_up.value().interruption &&
           caught_up.value().interruption->code != ErrorCode::kStoreUnavailable)
    obstacle = caught_up.value().interruption;
  const std::string reason = obstacle ? obstacle->message : std::string();
  {
    const std::lock_guard lock(rule_mutex_);
    if (std::exchange(stuck_reason_, reason) == reason)
      return;
  }
  if (obstacle)
    Log(caught_up ? kChangeNotApplicable : kLogShorterThanState,
        {{"reason", reason}});
}

}  // namespace bamboomount
