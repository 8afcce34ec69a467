#ifndef GATEWAY_DUTIES_DUTY_LEASE_H_
#define GATEWAY_DUTIES_DUTY_LEASE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gateway/boot_clock.h"
#include "gateway/membership/member.h"

namespace bamboomount {

// The row of the duty lease in the store.
struct DutyLeaseRow {
  InstanceId holder;
  Incarnation incarnation;
  FencingToken token;
  // Counts the claims of the incarnation, including claims that were never
  // written. Together with `incarnation` it identifies the claim that wrote a
  // row.
  std::uint64_t claim = 0;

  friend bool operator==(const DutyLeaseRow&, const DutyLeaseRow&) = default;
};

std::string EncodeLeaseRow(const DutyLeaseRow& row);
// Fails with kInternal.
Result<DutyLeaseRow> DecodeLeaseRow(const std::string& text);

// The lease that lets one instance at a time order backend servers and report
// usage.
//
// The holder renews its row on the condition that no other instance has written
// it. It acts only within the lease duration, counted from the time at which
// its last successful write was sent. Another instance takes the lease over
// only after it has seen the row unchanged for longer than that. The clock
// includes time for which the instance was suspended.
//
// Two cases are not covered: a holder that is suspended between its last check
// and the send, and bytes that are sent in time but arrive late. Not
// thread-safe.
class DutyLease {
 public:
  // Time beyond the lease duration for which the row must be unchanged before
  // another instance may take the lease over.
  static constexpr Millis kTakeoverMargin{1000};

  // A conditional write of the row, to be committed by the caller.
  struct Claim {
    // Version that the row must have; 0 if the row must not exist.
    RowVersion expected;
    DutyLeaseRow row;
  };

  DutyLease(InstanceId instance, Incarnation incarnation, Millis duration);

  // Processes the row as read from the store at `now`; `row` is empty if it
  // does not exist.
  void ObserveRow(const std::optional<DutyLeaseRow>& row,
                  RowVersion version,
                  Instant now);
  // Returns the write that is due: a renewal if the lease is held, a takeover
  // if it has expired. Empty if nothing is due or the row has not been read
  // yet.
  std::optional<Claim> NextClaim(Instant now);
  // Processes the outcome of a claim that was sent at `sent`. OnConflict means
  // that the condition did not hold.
  void OnCommitted(const Claim& claim, RowVersion version, Instant sent);
  void OnConflict(const Claim& claim);
  // The outcome is unknown: the claim may have been written already, or may be
  // written later.
  void OnOutcomeUnknown(const Claim& claim, Instant sent);

  // Whether the lease is held at `now` and will be for `remaining` longer.
  bool HoldsFor(Millis remaining, Instant now) const;
  // Meaningful only while the lease is held.
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
  // The row as last read, and the time since which it has been unchanged.
  bool observed_ = false;
  std::optional<DutyLeaseRow> observed_row_;
  RowVersion observed_version_;
  Instant observed_since_;
  std::uint64_t last_claim_ = 0;
  // Claims whose outcome is unknown.
  std::vector<UnresolvedClaim> unresolved_claims_;
};

}  // namespace bamboomount

#endif  // GATEWAY_DUTIES_DUTY_LEASE_H_
