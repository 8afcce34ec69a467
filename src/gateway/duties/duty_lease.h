#ifndef GATEWAY_DUTIES_DUTY_LEASE_H_
#define GATEWAY_DUTIES_DUTY_LEASE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gateway/boot_clock.h"
#include "gateway/duties/usage_ledger.h"
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
  // The era of the store for which the claim was made.
  StoreEra era;
  // Windows up to this one may have been sealed and reported before the store
  // lost its history; they must not be sealed again.
  WindowNumber sealed_through;

  friend bool operator==(const DutyLeaseRow&, const DutyLeaseRow&) = default;
};

std::string EncodeLeaseRow(const DutyLeaseRow& row);
// Fails with kInternal.
Result<DutyLeaseRow> DecodeLeaseRow(const std::string& text);

// What a read of the store shows of the lease.
struct LeaseSnapshot {
  // Empty if the row does not exist; the version is 0 then.
  std::optional<DutyLeaseRow> row;
  RowVersion version;
  // Newest version of the whole store.
  RowVersion position;
  StoreEra era;
};

// The lease that lets one instance at a time order backend servers and report
// usage.
//
// The holder renews its row on the condition that no other instance has written
// it. It acts only within the lease duration, counted from the time at which
// its last successful write was sent. Another instance takes the lease over
// only after it has seen the row unchanged for longer than that. The clock
// includes time for which the instance was suspended.
//
// Each tenure has a fencing token that is higher than that of every one before.
// It consists of the era of the store and of the store's version at the read
// that preceded the first claim, not of the token in the row: a store that
// comes back from an older copy has lost the newest rows. A tenure ends with
// its era, because what the store says of it may have been lost or given out
// again.
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
    // A takeover of which the row does not show the previous tenure: the store
    // came back from an older copy since. The caller sets `row.sealed_through`.
    bool history_lost = false;
  };

  DutyLease(InstanceId instance, Incarnation incarnation, Millis duration);

  // Processes the row as read from the store at `now`.
  void ObserveRow(const LeaseSnapshot& snapshot, Instant now);
  // Records a token that another instance states to hold or to have held. A
  // tenure with a lower one ends, and none begins that has no higher one.
  void ObserveToken(FencingToken token);
  // Returns the write that is due: a renewal if the lease is held, a takeover
  // if it has expired. Empty if nothing is due or the row has not been read
  // yet.
  std::optional<Claim> NextClaim(Instant now);
  // Processes the outcome of a claim that was sent at `sent`; `era` is that of
  // the response. OnConflict means that the condition did not hold.
  void OnCommitted(const Claim& claim,
                   RowVersion version,
                   StoreEra era,
                   Instant sent);
  void OnConflict(const Claim& claim, StoreEra era);
  // The outcome is unknown: the claim may have been written already, or may be
  // written later.
  void OnOutcomeUnknown(const Claim& claim, Instant sent);

  // Whether the lease is held at `now` and will be for `remaining` longer.
  bool HoldsFor(Millis remaining, Instant now) const;
  // Meaningful only while the lease is held.
  FencingToken token() const { return held_ ? held_->token : FencingToken(); }
  RowVersion version() const { return held_ ? held_->version : RowVersion(); }
  WindowNumber sealed_through() const {
    return held_ ? held_->sealed_through : WindowNumber();
  }
  // The era of the newest response, which is that of the lease while it is
  // held.
  StoreEra era() const { return era_; }

 private:
  struct Held {
    FencingToken token;
    RowVersion version;
    WindowNumber sealed_through;
    std::optional<Instant> valid_from;
  };
  struct UnresolvedClaim {
    DutyLeaseRow row;
    Instant sent;
  };

  // Returns false if the response is of an earlier era than the newest one. In
  // a later era nothing is held or known.
  bool EnterEra(StoreEra era);
  // Whether the store may have lost an earlier tenure; otherwise there was
  // none.
  bool MayHaveLostTenures() const;
  std::optional<Claim> NextTakeover(Instant now);
  void SetHeldRow(const DutyLeaseRow& row,
                  RowVersion version,
                  std::optional<Instant> sent);

  const InstanceId instance_;
  const Incarnation incarnation_;
  const Millis duration_;
  StoreEra era_;
  // The highest token of any instance that is known here.
  FencingToken newest_token_;
  std::optional<Held> held_;
  // What was last read in this era, and the time since which the row has been
  // unchanged.
  std::optional<LeaseSnapshot> observed_;
  Instant observed_since_;
  std::uint64_t last_claim_ = 0;
  // Claims whose outcome is unknown.
  std::vector<UnresolvedClaim> unresolved_claims_;
};

}  // namespace bamboomount

#endif  // GATEWAY_DUTIES_DUTY_LEASE_H_
