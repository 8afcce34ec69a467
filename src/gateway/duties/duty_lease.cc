#include "gateway/duties/duty_lease.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace bamboomount {

std::string EncodeLeaseRow(const DutyLeaseRow& row) {
  return nlohmann::json{{"holder", row.holder.value()},
                        {"incarnation", row.incarnation.value()},
                        {"token", row.token.value()},
                        {"claim", row.claim}}
      .dump();
}

Result<DutyLeaseRow> DecodeLeaseRow(const std::string& text) {
  try {
    const auto json = nlohmann::json::parse(text);
    return DutyLeaseRow{InstanceId(json.at("holder").get<std::string>()),
                        Incarnation(json.at("incarnation").get<std::string>()),
                        FencingToken(json.at("token").get<std::uint64_t>()),
                        json.at("claim").get<std::uint64_t>()};
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

void DutyLease::ObserveRow(const std::optional<DutyLeaseRow>& row,
                           RowVersion version,
                           Instant now) {
  if (!observed_ || version != observed_version_)
    observed_since_ = now;
  observed_ = true;
  observed_row_ = row;
  observed_version_ = version;
  if (!row || row->incarnation != incarnation_) {
    held_.reset();
    return;
  }
  if (held_ && held_->version >= version)
    return;
  // One of the claims whose outcome was unknown has been written.
  std::optional<Instant> sent;
  for (const UnresolvedClaim& claim : unresolved_claims_) {
    if (claim.row == *row)
      sent = claim.sent;
  }
  SetHeldRow(*row, version, sent);
}

std::optional<DutyLease::Claim> DutyLease::NextClaim(Instant now) {
  if (held_) {
    return Claim{held_->version,
                 {instance_, incarnation_, held_->token, ++last_claim_}};
  }
  if (!observed_)
    return std::nullopt;
  if (!observed_row_)
    return Claim{observed_version_,
                 {instance_, incarnation_, FencingToken(1), ++last_claim_}};
  if (now - observed_since_ < duration_ + kTakeoverMargin)
    return std::nullopt;
  const FencingToken next = observed_row_->token + FencingToken(1);
  return Claim{observed_version_,
               {instance_, incarnation_, next, ++last_claim_}};
}

void DutyLease::OnCommitted(const Claim& claim,
                            RowVersion version,
                            Instant sent) {
  if (held_ && held_->version >= version)
    return;
  SetHeldRow(claim.row, version, sent);
}

void DutyLease::OnConflict(const Claim& claim) {
  // Either another instance holds the lease, or an earlier claim of this one
  // was written after all; the next observation tells.
  if (held_ && held_->version == claim.expected)
    held_->valid_from.reset();
}

void DutyLease::OnOutcomeUnknown(const Claim& claim, Instant sent) {
  unresolved_claims_.push_back({claim.row, sent});
}

bool DutyLease::HoldsFor(Millis remaining, Instant now) const {
  return held_ && held_->valid_from &&
         now + remaining < *held_->valid_from + duration_;
}

void DutyLease::SetHeldRow(const DutyLeaseRow& row,
                           RowVersion version,
                           std::optional<Instant> sent) {
  held_ = Held{row.token, version, sent};
  observed_row_ = row;
  observed_version_ = version;
  // Claims that came before this row can no longer be written.
  std::erase_if(unresolved_claims_, [&row](const UnresolvedClaim& claim) {
    return claim.row.claim <= row.claim;
  });
}

}  // namespace bamboomount
