#include "controller/lease_manager.h"

#include <algorithm>
#include <utility>

#include "controller/events.h"
#include "controller/internal/lease_row.h"
#include "telemetry/telemetry.h"

namespace bamboomount {
namespace {

using internal::kLeaseKey;
using internal::LeaseRow;
using std::chrono::nanoseconds;

constexpr std::size_t kNonceBytes = 8;

}  // namespace

LeaseManager::LeaseManager(TableStore& store,
                           LeaseGuard& guard,
                           InstanceId instance,
                           const LeaseSettings& settings,
                           BootClock clock)
    : store_(store),
      guard_(guard),
      instance_(std::move(instance)),
      settings_(settings),
      clock_(std::move(clock)) {}

void LeaseManager::Step() {
  if (!held_) {
    Observe();
    return;
  }
  const auto now = clock_();
  if (now >= StepDownTime()) {
    Log(events::kLeaseSteppedDown,
        {{"fencing_token", std::to_string(held_->token.value())}});
    Drop();
    return;
  }
  if (held_->version_uncertain ||
      now >= held_->valid_from + settings_.renewal_interval) {
    Renew();
  }
}

bool LeaseManager::HoldsFor(Millis needed) const {
  return held_ && clock_() + needed < GuardDeadline(held_->valid_from);
}

FencingToken LeaseManager::token() const {
  return held_ ? held_->token : FencingToken(0);
}

Result<CommitOutcome> LeaseManager::CommitAsHolder(Transaction transaction,
                                                   Millis timeout) {
  if (!HoldsFor(timeout)) {
    return Error{ErrorCode::kNotLeaseHolder, RunVerdict::kNotRun,
                 "the lease is not held long enough", std::nullopt};
  }
  transaction.Expect(kLeaseKey, held_->version);
  return store_.Commit(transaction, timeout);
}

void LeaseManager::StepDown() {
  if (held_)
    Drop();
}

void LeaseManager::Release() {
  if (!held_)
    return;
  const Held held = *held_;
  LeaseRow row = MakeRow(held);
  row.released = true;
  const Millis timeout = BoundedTimeout();
  Drop();
  const auto outcome = store_.Commit(Transaction()
                                         .Expect(kLeaseKey, held.version)
                                         .Put(kLeaseKey, row.ToText()),
                                     timeout);
  if (outcome && outcome.value() == CommitOutcome::kCommitted)
    Log(events::kLeaseReleased);
}

void LeaseManager::Observe() {
  // A take whose answer was lost is looked up at once.
  if (!pending_take_ && clock_() < next_observation_)
    return;
  next_observation_ = clock_() + settings_.observe_interval;
  const auto read = store_.Read(kLeaseKey, settings_.store_timeout);
  if (!read)
    return;
  // The wait counts from after the read: the holder may have renewed at any
  // moment before it.
  const auto now = clock_();
  if (!read.value()) {
    Take(RowVersion(0), FencingToken(0));
    return;
  }
  const Row& row = *read.value();
  const auto lease = LeaseRow::Parse(row.value);
  if (!lease) {
    Log(events::kMalformedRow, {{"key", kLeaseKey}});
    return;
  }
  if (pending_take_ && pending_take_->nonce == lease->nonce) {
    const PendingTake take = *std::exchange(pending_take_, std::nullopt);
    Adopt(row.version, take.token, take.nonce, take.sent);
    if (held_)
      return;
  }
  if (seen_version_ != row.version) {
    seen_version_ = row.version;
    seen_since_ = now;
  }
  const auto free_at =
      seen_since_ + settings_.duration + settings_.takeover_margin;
  if (lease->released || now >= free_at) {
    Take(row.version, lease->token);
    return;
  }
  next_observation_ = std::min(next_observation_, free_at);
}

void LeaseManager::Take(RowVersion version, FencingToken last_token) {
  Held next;
  next.token = last_token + FencingToken(1);
  next.nonce = RandomHex(kNonceBytes);
  const auto sent = clock_();
  const auto outcome =
      store_.Commit(Transaction()
                        .Expect(kLeaseKey, version)
                        .Put(kLeaseKey, MakeRow(next).ToText()),
                    settings_.store_timeout);
  if (!outcome) {
    if (outcome.error().verdict == RunVerdict::kMayHaveRun)
      pending_take_ = PendingTake{next.nonce, next.token, sent};
    return;
  }
  if (outcome.value() == CommitOutcome::kConflict)
    return;
  Adopt(version + RowVersion(1), next.token, next.nonce, sent);
}

void LeaseManager::Adopt(RowVersion version,
                         FencingToken token,
                         const std::string& nonce,
                         nanoseconds valid_from) {
  pending_take_.reset();
  seen_version_.reset();
  // Armed before the lease counts as held, so that no action can precede the
  // guard.
  guard_.Arm(GuardDeadline(valid_from));
  Held held;
  held.version = version;
  held.token = token;
  held.nonce = nonce;
  held.valid_from = valid_from;
  held_ = std::move(held);
  if (clock_() >= StepDownTime()) {
    Drop();
    return;
  }
  Log(events::kLeaseTaken, {{"fencing_token", std::to_string(token.value())}});
}

void LeaseManager::Renew() {
  if (held_->version_uncertain && !ReadBack())
    return;
  const Millis timeout = BoundedTimeout();
  if (timeout <= Millis(0))
    return;
  ++held_->last_renewal;
  const auto sent = clock_();
  const auto outcome =
      store_.Commit(Transaction()
                        .Expect(kLeaseKey, held_->version)
                        .Put(kLeaseKey, MakeRow(*held_).ToText()),
                    timeout);
  if (outcome && outcome.value() == CommitOutcome::kCommitted) {
    // Open renewals expect an older version and can no longer take effect.
    held_->open_renewals.clear();
    Extend(held_->version + RowVersion(1), sent);
    return;
  }
  if (!outcome && outcome.error().verdict == RunVerdict::kNotRun)
    return;
  if (!outcome)
    held_->open_renewals[held_->last_renewal] = sent;
  held_->version_uncertain = true;
  ReadBack();
}

bool LeaseManager::ReadBack() {
  const Millis timeout = BoundedTimeout();
  if (timeout <= Millis(0))
    return false;
  const auto read = store_.Read(kLeaseKey, timeout);
  if (!read)
    return false;
  const auto lease =
      read.value() ? LeaseRow::Parse(read.value()->value) : std::nullopt;
  if (!lease || lease->nonce != held_->nonce) {
    Log(events::kLeaseLost,
        {{"holder", lease ? lease->holder.value() : std::string()}});
    Drop();
    return false;
  }
  // Any write with this nonce is this holder's own. An open renewal that took
  // effect extends the lease from when it was sent.
  const auto renewal = held_->open_renewals.find(lease->renewal);
  const auto valid_from = renewal == held_->open_renewals.end()
                              ? held_->valid_from
                              : std::max(held_->valid_from, renewal->second);
  Extend(read.value()->version, valid_from);
  return true;
}

void LeaseManager::Extend(RowVersion version, nanoseconds valid_from) {
  guard_.Arm(GuardDeadline(valid_from));
  held_->version = version;
  held_->valid_from = valid_from;
  held_->version_uncertain = false;
}

void LeaseManager::Drop() {
  // The guard is disarmed last: a pause before it ends the process, a pause
  // after it finds the lease not held.
  held_.reset();
  guard_.Disarm();
  next_observation_ = nanoseconds(0);
}

LeaseRow LeaseManager::MakeRow(const Held& held) const {
  return {instance_, held.nonce, held.token, held.last_renewal, false};
}

nanoseconds LeaseManager::GuardDeadline(nanoseconds valid_from) const {
  return valid_from + settings_.duration - settings_.guard_margin;
}

nanoseconds LeaseManager::StepDownTime() const {
  return GuardDeadline(held_->valid_from) - settings_.step_down_margin;
}

Millis LeaseManager::BoundedTimeout() const {
  const auto left =
      std::chrono::duration_cast<Millis>(StepDownTime() - clock_());
  return std::min(settings_.store_timeout, left);
}

}  // namespace bamboomount
