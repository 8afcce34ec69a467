#ifndef CONTROLLER_LEASE_MANAGER_H_
#define CONTROLLER_LEASE_MANAGER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "base/base.h"
#include "controller/lease_guard.h"
#include "controller/lease_settings.h"
#include "provider/provider.h"

namespace bamboomount {

namespace internal {
struct LeaseRow;
}  // namespace internal

// Source of the time since boot: CLOCK_BOOTTIME in production, a simulated
// clock in tests.
using BootClock = std::function<std::chrono::nanoseconds()>;

// Acquires, renews and gives up the controller lease, which at most one process
// of the fleet holds.
//
// The fencing token of each tenure is higher than that of every one before. It
// consists of the era of the store and of the row's version, not of the token
// in the row: a store that comes back from an older copy has lost the newest
// rows. A tenure ends with its era, because what the store says of it may have
// been lost or given out again. Not thread-safe.
class LeaseManager {
 public:
  LeaseManager(TableStore& store,
               LeaseGuard& guard,
               InstanceId instance,
               const LeaseSettings& settings,
               BootClock clock = BootTimeNow);

  // Acquires or renews the lease if that is due. Gives it up if it can no
  // longer be renewed in time. Does not call the store while a held lease is
  // fresh.
  void Step();

  // Whether the lease is held and stays valid for at least `needed`, the
  // maximum duration of the action that follows. The guard covers a pause
  // between this check and the action.
  bool HoldsFor(Millis needed) const;
  bool holds() const { return held_.has_value(); }
  // The fencing token of the held lease; 0 if the lease is not held.
  FencingToken token() const;
  // The newest era of the store that this instance knows, which is that of the
  // lease while it is held.
  StoreEra era() const { return era_; }

  // Commits `transaction` on the condition that the lease row is unchanged
  // since this holder last wrote it. Fails with kNotLeaseHolder and verdict
  // kNotRun if the lease does not stay valid for `timeout`. Fails with verdict
  // kMayHaveRun and ends the tenure if the store has entered a later era. Other
  // errors are those of the store. The lease condition can also be the cause of
  // kConflict.
  Result<CommitOutcome> CommitAsHolder(Transaction transaction, Millis timeout);

  // Ends holding the lease locally and lets it expire in the table.
  void StepDown();
  // Gives up the lease so that another instance can acquire it without waiting.
  // Only allowed when the outcome of all calls of this holder is known.
  void Release();

 private:
  struct HeldLease {
    RowVersion version;
    FencingToken token;
    std::string nonce;
    // Start of the validity: the time before the write was sent.
    std::chrono::nanoseconds valid_from;
    std::int64_t last_renewal = 0;
    // A write of the row may have taken effect, so `version` may be outdated.
    bool version_uncertain = false;
    // Renewals with unknown outcome: attempt number and time of sending.
    std::map<std::int64_t, std::chrono::nanoseconds> unconfirmed_renewals;
  };
  // An acquisition whose response was lost.
  struct PendingAcquisition {
    std::string nonce;
    FencingToken token;
    std::chrono::nanoseconds sent;
  };

  // Returns false if the response is of an earlier era than the newest one. In
  // a later era nothing is held or known.
  bool EnterEra(StoreEra era);
  // Fails with verdict kMayHaveRun if the response is of another era than the
  // one in which the conditions of `transaction` were read.
  Result<CommitOutcome> CommitInEra(const Transaction& transaction,
                                    Millis timeout);
  void ObserveLeaseRow();
  // Whether another instance may hold the lease without a row in the table.
  bool MayHaveLostTenures() const;
  // Acquires the lease if it may be free according to `row`, otherwise
  // schedules the next read.
  void AcquireIfFree(const std::optional<internal::LeaseRow>& row,
                     RowVersion version);
  void Acquire(RowVersion version);
  // Starts holding the lease with validity from `valid_from`, unless so much
  // time has passed that the lease would have to be given up at once.
  void BeginHolding(RowVersion version,
                    FencingToken token,
                    const std::string& nonce,
                    std::chrono::nanoseconds valid_from);
  void Renew();
  // Reads the lease row after a write with unknown outcome, and updates version
  // and validity. Returns false if the row could not be read in time or the
  // lease is lost.
  bool ReloadLeaseRow();
  void ExtendValidity(RowVersion version, std::chrono::nanoseconds valid_from);
  void EndHolding();
  internal::LeaseRow MakeLeaseRow(const HeldLease& held) const;
  std::chrono::nanoseconds GuardDeadline(
      std::chrono::nanoseconds valid_from) const;
  std::chrono::nanoseconds StepDownTime() const;
  // The store timeout, limited to the time left before the holder steps down.
  // Not positive if no time is left.
  Millis RemainingTimeout() const;

  TableStore& store_;
  LeaseGuard& guard_;
  const InstanceId instance_;
  const LeaseSettings settings_;
  const BootClock clock_;
  StoreEra era_;
  // The highest token of any instance that was read or held here.
  FencingToken newest_token_;
  std::optional<HeldLease> held_;
  std::optional<PendingAcquisition> pending_acquisition_;
  // The version of the row when it was last read in this era without holding
  // the lease, and the time since which it has been unchanged.
  std::optional<RowVersion> observed_version_;
  std::chrono::nanoseconds observed_since_{0};
  // Time of the next read of the row while the lease is not held.
  std::chrono::nanoseconds next_observation_{0};
};

}  // namespace bamboomount

#endif  // CONTROLLER_LEASE_MANAGER_H_
