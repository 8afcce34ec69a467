#ifndef GATEWAY_DUTIES_DUTY_LEASE_H_
#define GATEWAY_DUTIES_DUTY_LEASE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gateway/boot_clock.h"
#include "gateway/membership/member.h"

namespace bamboomount {

// The lease's row in the store.
struct DutyLeaseRow {
  InstanceId holder;
  Incarnation incarnation;
  FencingToken token;
  // Counts the claims of the incarnation, written or not, so that a row shows
  // which claim wrote it.
  std::uint64_t claim = 0;

  friend bool operator==(const DutyLeaseRow&, const DutyLeaseRow&) = default;
};

std::string EncodeLeaseRow(const DutyLeaseRow& row);
// Fails with kInternal.
Result<DutyLeaseRow> DecodeLeaseRow(const std::string& text);

// Decides which instance orders backend servers and reports usage.
//
// The holder renews its row under the condition that nobody else wrote it, and
// acts only within the lease duration from the moment at which its last
// successful write was sent. Another instance takes the row only after it has
// seen it unchanged for longer than that. The clock counts suspended time. What
// this does not cover: a holder that stops between its last check and the send,
// and bytes that were sent in time and arrive late.
class DutyLease {
 public:
  // How much longer than the lease the next holder waits.
  static constexpr Millis kTakeoverMargin{1000};

  // A write of the row that the caller commits.
  struct Claim {
    // 0: the row must be missing.
    RowVersion expected;
    DutyLeaseRow row;
  };

  DutyLease(InstanceId instance, Incarnation incarnation, Millis duration);

  // The row as the store shows it at `now`; empty if it is missing.
  void ObserveRow(const std::optional<DutyLeaseRow>& row,
                  RowVersion version,
                  Instant now);
  // The write that is due: a renewal of the held lease, or a take-over of one
  // that has run out.
  std::optional<Claim> NextClaim(Instant now);
  // The outcome of a claim that was sent at `sent`.
  void OnCommitted(const Claim& claim, RowVersion version, Instant sent);
  void OnConflict(const Claim& claim);
  // The claim may have been written, now or later.
  void OnOutcomeUnknown(const Claim& claim, Instant sent);

  // Whether the lease is held and stays so for `needed`.
  bool HoldsFor(Millis remaining, Instant now) const;
  // Meaningful while the lease is held.
  FencingToken token() const { return held_ ? held_->token : FencingToken(); }
  RowVersion version() const { return held_ ? held_->version : RowVersion(); }

 private:
  struct Held {
    FencingToken token;
    RowVersion version;
    std::optional<Instant> valid_from;
  };
  struct UnresolvedClaim {
    DutyLeaseRow row;
    Instant sent;
  };

  void SetHeldRow(const DutyLeaseRow& row,
                  RowVersion version,
                  std::optional<Instant> sent);

  const InstanceId instance_;
  const Incarnation incarnation_;
  const Millis duration_;
  std::optional<Held> held_;
  // The row as last seen, and since when it is so.
  bool observed_ = false;
  std::optional<DutyLeaseRow> observed_row_;
  RowVersion observed_version_;
  Instant observed_since_;
  std::uint64_t last_claim_ = 0;
  // Claims with an unknown outcome.
  std::vector<UnresolvedClaim> unresolved_claims_;
};

}  // namespace bamboomount

#endif  // GATEWAY_DUTIES_DUTY_LEASE_H_
