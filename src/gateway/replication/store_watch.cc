#include "gateway/replication/store_watch.h"

#include <algorithm>

namespace bamboomount {
namespace {

constexpr Millis kStepInterval{100};
constexpr Millis kAssignInterval{500};
// Parts of the tightest deadline: how long the first instance lets the store
// wait for changes, and from which age on others ask by themselves. The rest
// covers the way of the news, a slow answer and a second question.
constexpr double kWatchPart = 0.3;
constexpr double kGuardPart = 0.45;
// Later ones of the fleet's order ask later, so that the answer to one of them
// reaches the others first.
constexpr Millis kGuardStep{25};
constexpr Millis kMaxGuardSteps{500};
// Changes reach the second instance as soon as there are any.
constexpr Millis kBackupWait{25000};
// Pause after a question that brought no confirmation; doubles up to the
// longest.
constexpr Millis kFirstPause{300};
constexpr Millis kLongestPause{2400};
// A row that the others know surely arrives within this time.
constexpr Millis kStrangerTime{1000};

Millis Part(Millis time, double part) {
  return Millis(
      static_cast<Millis::rep>(static_cast<double>(time.count()) * part));
}

}  // namespace

StoreWatch::StoreWatch(asio::io_context& context,
                       GatewayState& state,
                       AsyncTableStore& store,
                       const Followers& followers)
    : state_(state), store_(store), followers_(followers), timer_(context) {}

void StoreWatch::Start() {
  Step();
  timer_.expires_after(kStepInterval);
  timer_.async_wait([this](const error_code& error) {
    if (!error)
      Start();
  });
}

void StoreWatch::Step() {
  const Instant now = BootClock::now();
  state_.SetStoreReadsSucceed(std::none_of(
      followers_.begin(), followers_.end(),
      [](const TableFollower* follower) { return follower->store_failed(); }));
  if (now - assigned_ >= kAssignInterval) {
    assigned_ = now;
    AssignTasks(now);
  }
  Guard(now);
}

void StoreWatch::AssignTasks(Instant now) {
  rank_ = state_.members().CandidateRank(state_.settings().instance, now);
  for (const SharedTable table : {SharedTable::kConfig, SharedTable::kBackends,
                                  SharedTable::kInstances}) {
    TableFollower& follower = *followers_[static_cast<std::size_t>(table)];
    // Nothing depends on news of instances within a deadline.
    const bool frequent = rank_ == 0 && table != SharedTable::kInstances;
    if (frequent)
      follower.Watch(Part(TightestDeadline(), kWatchPart));
    else if (rank_ <= 1)
      follower.Watch(kBackupWait);
    else
      follower.Listen();
  }
}

void StoreWatch::Guard(Instant now) {
  const Millis limit = AgeLimit();
  const bool config_is_old = !state_.freshness().IsConfirmedWithin(limit, now);
  const bool backends_are_old =
      !state_.backend_freshness().IsConfirmedWithin(limit, now);
  if (!config_is_old && !backends_are_old) {
    question_pause_ = kFirstPause;
    return;
  }
  if (now < next_question_)
    return;
  next_question_ = now + question_pause_;
  question_pause_ = std::min(question_pause_ * 2, kLongestPause);
  if (config_is_old)
    followers_[static_cast<std::size_t>(SharedTable::kConfig)]->Ask(store_);
  if (backends_are_old)
    followers_[static_cast<std::size_t>(SharedTable::kBackends)]->Ask(store_);
}

Millis StoreWatch::AgeLimit() const {
  const Millis later =
      std::min(kMaxGuardSteps, kGuardStep * static_cast<int>(rank_));
  return Part(TightestDeadline(), kGuardPart) + later;
}

Millis StoreWatch::TightestDeadline() const {
  const InstanceSettings& settings = state_.settings();
  return std::min({settings.config_deadline, settings.leaving_deadline,
                   settings.key_withdrawal_deadline});
}

void StoreWatch::OnStranger(const InstanceId& /*instance*/) {
  const Instant now = BootClock::now();
  if (!stranger_since_ || now - *stranger_since_ > 2 * kStrangerTime)
    stranger_since_ = now;
  if (now - *stranger_since_ < kStrangerTime)
    return;
  stranger_since_.reset();
  followers_[static_cast<std::size_t>(SharedTable::kInstances)]->Ask(store_);
}

}  // namespace bamboomount
