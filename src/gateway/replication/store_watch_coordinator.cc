#include "gateway/replication/store_watch_coordinator.h"

#include <algorithm>
#include <random>

namespace bamboomount {
namespace {

constexpr Millis kTickInterval{100};
constexpr Millis kAssignInterval{500};
// Fractions of the tightest deadline: wait time of the long polls of rank 0,
// and staleness above which other instances poll themselves. The remainder
// covers gossip propagation, a slow response and a second poll.
constexpr double kWatchFraction = 0.3;
constexpr double kStalenessFraction = 0.45;
// Instances of higher rank wait longer, so that the response to one of them
// reaches the others by gossip first.
constexpr Millis kStalenessPerRank{25};
constexpr Millis kMaxRankStaleness{500};
// Wait time of the long polls of rank 1, the backup, and of those of the
// instance table. It does not delay changes, because the store ends a long poll
// as soon as there is one.
constexpr Millis kBackupWatchWait{25000};
// The instance table is polled if messages from an unknown sender arrive for
// longer than this. The row of a new instance normally arrives sooner.
constexpr Millis kUnknownSenderGrace{1000};

Millis ScaleMillis(Millis time, double factor) {
  return Millis(
      static_cast<Millis::rep>(static_cast<double>(time.count()) * factor));
}

}  // namespace

StoreWatchCoordinator::StoreWatchCoordinator(asio::io_context& context,
                                             GatewayState& state,
                                             AsyncTableStore& store,
                                             const Followers& followers)
    : state_(state),
      store_(store),
      followers_(followers),
      poll_schedule_(std::random_device{}()),
      timer_(context) {}

void StoreWatchCoordinator::Start() {
  Tick();
  timer_.expires_after(kTickInterval);
  timer_.async_wait([this](const error_code& error) {
    if (!error)
      Start();
  });
}

void StoreWatchCoordinator::Tick() {
  const Instant now = BootClock::now();
  state_.SetStoreReadsSucceed(std::none_of(
      followers_.begin(), followers_.end(),
      [](const TableFollower* follower) { return follower->store_failed(); }));
  if (now - assigned_at_ >= kAssignInterval) {
    assigned_at_ = now;
    AssignWatchRole(now);
  }
  PollIfStale(now);
}

void StoreWatchCoordinator::AssignWatchRole(Instant now) {
  rank_ = state_.members().CandidateRank(state_.settings().instance, now);
  for (const SharedTable table : {SharedTable::kConfig, SharedTable::kBackends,
                                  SharedTable::kInstances}) {
    TableFollower& follower = *followers_[static_cast<std::size_t>(table)];
    // No deadline depends on the instance table.
    const bool is_primary_watch =
        rank_ == 0 && table != SharedTable::kInstances;
    if (is_primary_watch)
      follower.Watch(ScaleMillis(TightestDeadline(), kWatchFraction));
    else if (rank_ <= 1)
      follower.Watch(kBackupWatchWait);
    else
      follower.StopWatching();
  }
}

void StoreWatchCoordinator::PollIfStale(Instant now) {
  const Millis limit = MaxStaleness();
  const bool config_is_stale =
      !state_.freshness().IsConfirmedWithin(limit, now);
  const bool backends_are_stale =
      !state_.backend_freshness().IsConfirmedWithin(limit, now);
  // No deadline depends on the instance table, but this instance may be missing
  // in those of its peers, which then ignore its messages and send it none.
  const bool instances_are_outdated = IsOfEarlierEra(SharedTable::kInstances);
  if (!config_is_stale && !backends_are_stale && !instances_are_outdated) {
    poll_schedule_.OnFresh();
    return;
  }
  const std::size_t peers_heard =
      state_.members().CountHeard(StalePollSchedule::kHeardPeriod, now);
  if (!poll_schedule_.IsDue(peers_heard, now))
    return;
  if (config_is_stale)
    followers_[static_cast<std::size_t>(SharedTable::kConfig)]->PollOnce(
        store_);
  if (backends_are_stale)
    followers_[static_cast<std::size_t>(SharedTable::kBackends)]->PollOnce(
        store_);
  if (instances_are_outdated)
    followers_[static_cast<std::size_t>(SharedTable::kInstances)]->PollOnce(
        store_);
}

bool StoreWatchCoordinator::IsOfEarlierEra(SharedTable table) const {
  const StoreEra era = followers_[static_cast<std::size_t>(table)]->era();
  return std::any_of(
      followers_.begin(), followers_.end(),
      [era](const TableFollower* follower) { return follower->era() > era; });
}

Millis StoreWatchCoordinator::MaxStaleness() const {
  const Millis rank_staleness =
      std::min(kMaxRankStaleness, kStalenessPerRank * static_cast<int>(rank_));
  return ScaleMillis(TightestDeadline(), kStalenessFraction) + rank_staleness;
}

Millis StoreWatchCoordinator::TightestDeadline() const {
  const InstanceSettings& settings = state_.settings();
  return std::min({settings.config_deadline, settings.leaving_deadline,
                   settings.key_withdrawal_deadline});
}

void StoreWatchCoordinator::OnUnknownSender(const InstanceId& /*instance*/) {
  const Instant now = BootClock::now();
  if (!unknown_sender_since_ ||
      now - *unknown_sender_since_ > 2 * kUnknownSenderGrace)
    unknown_sender_since_ = now;
  if (now - *unknown_sender_since_ < kUnknownSenderGrace)
    return;
  unknown_sender_since_.reset();
  followers_[static_cast<std::size_t>(SharedTable::kInstances)]->PollOnce(
      store_);
}

}  // namespace bamboomount
