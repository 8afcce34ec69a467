#include "gateway/duties/duty_lease.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace bamboomount {
namespace {

// Bits of a fencing token that hold the store's version; the era is above them.
constexpr unsigned kVersionBits = 40;

// Later tenures of an era follow a read of a later version, because the first
// claim of each tenure writes the row.
FencingToken TokenAfter(const LeaseSnapshot& snapshot) {
  const RowVersion newest = std::max(snapshot.position, snapshot.version);
  return FencingToken((snapshot.era.value() << kVersionBits) + newest.value() +
                      1);
}

}  // namespace

std::string EncodeLeaseRow(const DutyLeaseRow& row) {
  return nlohmann::json{{"holder", row.holder.value()},
                        {"incarnation", row.incarnation.value()},
                        {"token", row.token.value()},
                        {"claim", row.claim},
                        {"era", row.era.value()},
                        {"sealed_through", row.sealed_through.value()}}
      .dump();
}

Result<DutyLeaseRow> DecodeLeaseRow(const std::string& text) {
  try {
    const auto json = nlohmann::json::parse(text);
    return DutyLeaseRow{
        InstanceId(json.at("holder").get<std::string>()),
        Incarnation(json.at("incarnation").get<std::string>()),
        FencingToken(json.at("token").get<std::uint64_t>()),
        json.at("claim").get<std::uint64_t>(),
        StoreEra(json.value("era", std::uint64_t{0})),
        WindowNumber(json.value("sealed_through", std::int64_t{0}))};
  } catch (const std::exception& error) {
    return Error{ErrorCode::kInternal,
                 RunVerdict::kNotRun,
                 std::string("lease row cannot be read: ") + error.what(),
                 {}};
  }
}

DutyLease::DutyLease(InstanceId instance,
                     Incarnation incarnation,
                     Millis duration)
    : instance_(std::move(instance)),
      incarnation_(std::move(incarnation)),
      duration_(duration) {}

bool DutyLease::EnterEra(StoreEra era) {
  if (era < era_)
    return false;
  if (era > era_) {
    era_ = era;
    held_.reset();
    observed_.reset();
    unresolved_claims_.clear();
  }
  return true;
}

void DutyLease::ObserveToken(FencingToken token) {
  newest_token_ = std::max(newest_token_, token);
  if (!held_ || held_->token >= newest_token_)
    return;
  held_.reset();
  // The wait for a takeover counts from the next read.
  observed_.reset();
}

void DutyLease::ObserveRow(const LeaseSnapshot& snapshot, Instant now) {
  if (!EnterEra(snapshot.era))
    return;
  if (snapshot.row)
    ObserveToken(snapshot.row->token);
  if (!observed_ || snapshot.version != observed_->version)
    observed_since_ = now;
  observed_ = snapshot;
  if (!snapshot.row || snapshot.row->incarnation != incarnation_) {
    held_.reset();
    return;
  }
  if (held_ && held_->version >= snapshot.version)
    return;
  // A claim whose outcome was unknown may have been written. Any other row of
  // this incarnation comes from an older copy of the store.
  const auto written = std::find_if(
      unresolved_claims_.begin(), unresolved_claims_.end(),
      [&](const UnresolvedClaim& claim) { return claim.row == *snapshot.row; });
  if (written == unresolved_claims_.end())
    held_.reset();
  else
    SetHeldRow(DutyLeaseRow(written->row), snapshot.version, written->sent);
}

std::optional<DutyLease::Claim> DutyLease::NextClaim(Instant now) {
  if (!held_)
    return NextTakeover(now);
  return Claim{held_->version,
               {instance_, incarnation_, held_->token, ++last_claim_, era_,
                held_->sealed_through}};
}

bool DutyLease::MayHaveLostTenures() const {
  return era_ != StoreEra() || newest_token_ != FencingToken();
}

std::optional<DutyLease::Claim> DutyLease::NextTakeover(Instant now) {
  if (!observed_)
    return std::nullopt;
  const bool may_be_held = observed_->row || MayHaveLostTenures();
  if (may_be_held && now - observed_since_ < duration_ + kTakeoverMargin)
    return std::nullopt;
  const FencingToken token = TokenAfter(*observed_);
  if (token <= newest_token_)
    return std::nullopt;
  const bool history_lost =
      observed_->row ? observed_->row->era != era_ : MayHaveLostTenures();
  const WindowNumber sealed_through =
      observed_->row ? observed_->row->sealed_through : WindowNumber();
  return Claim{
      observed_->version,
      {instance_, incarnation_, token, ++last_claim_, era_, sealed_through},
      history_lost};
}

void DutyLease::OnCommitted(const Claim& claim,
                            RowVersion version,
                            StoreEra era,
                            Instant sent) {
  // A claim that was made for one era and written in another proves nothing:
  // its condition named a version that was given out again.
  if (!EnterEra(era) || claim.row.era != era_)
    return;
  if (held_ && held_->version >= version)
    return;
  SetHeldRow(claim.row, version, sent);
}

void DutyLease::OnConflict(const Claim& claim, StoreEra era) {
  if (!EnterEra(era))
    return;
  // Either another instance holds the lease, or an earlier claim of this
  // instance was written after all. The next read of the row shows which.
  if (held_ && held_->version == claim.expected)
    held_->valid_from.reset();
}

void DutyLease::OnOutcomeUnknown(const Claim& claim, Instant sent) {
  if (claim.row.era == era_)
    unresolved_claims_.push_back({claim.row, sent});
}

bool DutyLease::HoldsFor(Millis remaining, Instant now) const {
  return held_ && held_->valid_from &&
         now + remaining < *held_->valid_from + duration_;
}

void DutyLease::SetHeldRow(const DutyLeaseRow& row,
                           RowVersion version,
                           std::optional<Instant> sent) {
  held_ = Held{row.token, version, row.sealed_through, sent};
  observed_ = LeaseSnapshot{row, version, version, era_};
  ObserveToken(row.token);
  // Claims older than this row can no longer be written, since their condition
  // no longer holds.
  std::erase_if(unresolved_claims_, [&row](const UnresolvedClaim& claim) {
    return claim.row.claim <= row.claim;
  });
}

}  // namespace bamboomount
