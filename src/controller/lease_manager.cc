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
// Bits of a fencing token that hold the row's version; the era is above them.
constexpr unsigned kVersionBits = 40;

FencingToken MakeToken(StoreEra era, RowVersion version) {
  return FencingToken((era.value() << kVersionBits) + version.value());
}

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
    ObserveLeaseRow();
    return;
  }
  const auto now = clock_();
  if (now >= StepDownTime()) {
    Log(events::kLeaseSteppedDown,
        {{"fencing_token", std::to_string(held_->token.value())}});
    EndHolding();
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
    return Error{
        ErrorCode::kNotLeaseHolder, RunVerdict::kNotRun,
        "the lease is not held or expires before the commit would time out",
        std::nullopt};
  }
  transaction.Expect(kLeaseKey, held_->version);
  return CommitInEra(transaction, timeout);
}

void LeaseManager::StepDown() {
  if (held_)
    EndHolding();
}

void LeaseManager::Release() {
  if (!held_)
    return;
  const HeldLease held = *held_;
  LeaseRow row = MakeLeaseRow(held);
  row.released = true;
  const Millis timeout = RemainingTimeout();
  EndHolding();
  const auto outcome = CommitInEra(Transaction()
                                       .Expect(kLeaseKey, held.version)
                                       .Put(kLeaseKey, row.ToText()),
                                   timeout);
  if (outcome && outcome.value() == CommitOutcome::kCommitted)
    Log(events::kLeaseReleased);
}

bool LeaseManager::EnterEra(StoreEra era) {
  if (era <= era_)
    return era == era_;
  if (held_ || observed_version_)
    Log(events::kLeaseStoreRestored, {{"era", std::to_string(era.value())}});
  era_ = era;
  pending_acquisition_.reset();
  observed_version_.reset();
  if (held_)
    EndHolding();
  return true;
}

Result<CommitOutcome> LeaseManager::CommitInEra(const Transaction& transaction,
                                                Millis timeout) {
  const StoreEra era = era_;
  BOOST_OUTCOME_TRY(response, store_.CommitWithEra(transaction, timeout));
  EnterEra(response.era);
  // Versions are given out again in a later era, so a condition may hold there
  // although another instance has written the row.
  if (response.era != era) {
    return Error{ErrorCode::kStoreUnavailable, RunVerdict::kMayHaveRun,
                 "the store came back from an older copy", std::nullopt};
  }
  return response.value;
}

void LeaseManager::ObserveLeaseRow() {
  // After an acquisition with a lost response the row is read without waiting.
  if (!pending_acquisition_ && clock_() < next_observation_)
    return;
  next_observation_ = clock_() + settings_.observe_interval;
  const auto read = store_.ReadWithEra(kLeaseKey, settings_.store_timeout);
  if (!read || !EnterEra(read.value().era))
    return;
  if (!read.value().value) {
    AcquireIfFree(std::nullopt, RowVersion(0));
    return;
  }
  const Row& row = *read.value().value;
  const auto lease = LeaseRow::Parse(row.value);
  if (!lease) {
    Log(events::kMalformedRow, {{"key", kLeaseKey}});
    return;
  }
  newest_token_ = std::max(newest_token_, lease->token);
  if (pending_acquisition_ && pending_acquisition_->nonce == lease->nonce) {
    const PendingAcquisition acquisition =
        *std::exchange(pending_acquisition_, std::nullopt);
    BeginHolding(row.version, acquisition.token, acquisition.nonce,
                 acquisition.sent);
    if (held_)
      return;
  }
  AcquireIfFree(lease, row.version);
}

bool LeaseManager::MayHaveLostTenures() const {
  return era_ != StoreEra() || newest_token_ != FencingToken();
}

void LeaseManager::AcquireIfFree(const std::optional<LeaseRow>& row,
                                 RowVersion version) {
  // The waiting time starts after the read, because the holder may have renewed
  // the lease at any time before it.
  const auto now = clock_();
  if (observed_version_ != version) {
    observed_version_ = version;
    observed_since_ = now;
  }
  const auto free_at =
      observed_since_ + settings_.duration + settings_.takeover_margin;
  // A release in an earlier era may have been followed by other tenures.
  const bool may_be_held =
      row ? !row->released || row->era != era_ : MayHaveLostTenures();
  if (may_be_held && now < free_at) {
    next_observation_ = std::min(next_observation_, free_at);
    return;
  }
  Acquire(version);
}

void LeaseManager::Acquire(RowVersion version) {
  const StoreEra era = era_;
  HeldLease next;
  next.token = std::max(newest_token_ + FencingToken(1),
                        MakeToken(era, version + RowVersion(1)));
  next.nonce = RandomHex(kNonceBytes);
  const auto sent = clock_();
  const auto outcome =
      CommitInEra(Transaction()
                      .Expect(kLeaseKey, version)
                      .Put(kLeaseKey, MakeLeaseRow(next).ToText()),
                  settings_.store_timeout);
  if (!outcome) {
    if (outcome.error().verdict == RunVerdict::kMayHaveRun && era == era_)
      pending_acquisition_ = PendingAcquisition{next.nonce, next.token, sent};
    return;
  }
  if (outcome.value() == CommitOutcome::kConflict)
    return;
  BeginHolding(version + RowVersion(1), next.token, next.nonce, sent);
}

void LeaseManager::BeginHolding(RowVersion version,
                                FencingToken token,
                                const std::string& nonce,
                                nanoseconds valid_from) {
  pending_acquisition_.reset();
  observed_version_.reset();
  newest_token_ = std::max(newest_token_, token);
  // The guard is armed before the lease counts as held, so that no action can
  // precede it.
  guard_.Arm(GuardDeadline(valid_from));
  HeldLease held;
  held.version = version;
  held.token = token;
  held.nonce = nonce;
  held.valid_from = valid_from;
  held_ = std::move(held);
  if (clock_() >= StepDownTime()) {
    EndHolding();
    return;
  }
  Log(events::kLeaseTaken, {{"fencing_token", std::to_string(token.value())}});
}

void LeaseManager::Renew() {
  if (held_->version_uncertain && !ReloadLeaseRow())
    return;
  const Millis timeout = RemainingTimeout();
  if (timeout <= Millis(0))
    return;
  ++held_->last_renewal;
  const auto sent = clock_();
  const auto outcome =
      CommitInEra(Transaction()
                      .Expect(kLeaseKey, held_->version)
                      .Put(kLeaseKey, MakeLeaseRow(*held_).ToText()),
                  timeout);
  if (!held_)
    return;
  if (outcome && outcome.value() == CommitOutcome::kCommitted) {
    // Unconfirmed renewals expect an older version, so they can no longer take
    // effect.
    held_->unconfirmed_renewals.clear();
    ExtendValidity(held_->version + RowVersion(1), sent);
    return;
  }
  if (!outcome && outcome.error().verdict == RunVerdict::kNotRun)
    return;
  if (!outcome)
    held_->unconfirmed_renewals[held_->last_renewal] = sent;
  held_->version_uncertain = true;
  ReloadLeaseRow();
}

bool LeaseManager::ReloadLeaseRow() {
  const Millis timeout = RemainingTimeout();
  if (timeout <= Millis(0))
    return false;
  const auto read = store_.ReadWithEra(kLeaseKey, timeout);
  if (!read || !EnterEra(read.value().era) || !held_)
    return false;
  const std::optional<Row>& row = read.value().value;
  const auto lease = row ? LeaseRow::Parse(row->value) : std::nullopt;
  if (!lease || lease->nonce != held_->nonce) {
    Log(events::kLeaseLost,
        {{"holder", lease ? lease->holder.value() : std::string()}});
    EndHolding();
    return false;
  }
  // Every row with this nonce was written by this holder. An unconfirmed
  // renewal that took effect extends the lease from the time when it was sent.
  const auto renewal = held_->unconfirmed_renewals.find(lease->renewal);
  const auto valid_from = renewal == held_->unconfirmed_renewals.end()
                              ? held_->valid_from
                              : std::max(held_->valid_from, renewal->second);
  ExtendValidity(row->version, valid_from);
  return true;
}

void LeaseManager::ExtendValidity(RowVersion version, nanoseconds valid_from) {
  guard_.Arm(GuardDeadline(valid_from));
  held_->version = version;
  held_->valid_from = valid_from;
  held_->version_uncertain = false;
}

void LeaseManager::EndHolding() {
  // The guard is disarmed last: if the process is paused before that, the guard
  // ends it; after a later pause the lease is no longer held.
  held_.reset();
  guard_.Disarm();
  next_observation_ = nanoseconds(0);
}

LeaseRow LeaseManager::MakeLeaseRow(const HeldLease& held) const {
  return {instance_, held.nonce, held.token, held.last_renewal, false, era_};
}

nanoseconds LeaseManager::GuardDeadline(nanoseconds valid_from) const {
  return valid_from + settings_.duration - settings_.guard_margin;
}

nanoseconds LeaseManager::StepDownTime() const {
  return GuardDeadline(held_->valid_from) - settings_.step_down_margin;
}

Millis LeaseManager::RemainingTimeout() const {
  const auto left =
      std::chrono::duration_cast<Millis>(StepDownTime() - clock_());
  return std::min(settings_.store_timeout, left);
}

}  // namespace bamboomount
