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

// CLOCK_BOOTTIME in production; tests pass their own.
using BootClock = std::function<std::chrono::nanoseconds()>;

// Takes, renews and gives up the lease that lets one process of the fleet act.
// Used from one thread.
class LeaseManager {
 public:
  LeaseManager(TableStore& store,
               LeaseGuard& guard,
               InstanceId instance,
               const LeaseSettings& settings,
               BootClock clock = BootTimeNow);

  // Takes or renews the lease if that is due and gives it up if it can no
  // longer be renewed in time. Costs nothing while a held lease is fresh.
  void Step();

  // Whether the lease is held and stays so for `needed`, the bound of the
  // action that follows. The guard covers a pause after the check.
  bool HoldsFor(Millis needed) const;
  bool holds() const { return held_.has_value(); }
  // Meaningful while the lease is held.
  FencingToken token() const;

  // Commits `transaction` on the condition that the lease row is as this
  // holder last wrote it. Fails with kNotLeaseHolder (not run) if the lease is
  // not held long enough. A conflict can also come from the lease condition.
  Result<CommitOutcome> CommitAsHolder(Transaction transaction, Millis timeout);

  // Stops acting and lets the lease expire.
  void StepDown();
  // Stops acting and lets the next holder take the lease without waiting. Only
  // for a holder whose calls have all been answered.
  void Release();

 private:
  struct HeldLease {
    RowVersion version;
    FencingToken token;
    std::string nonce;
    // Validity counts from the moment before the write was sent.
    std::chrono::nanoseconds valid_from;
    std::int64_t last_renewal = 0;
    // A write of the row may have taken effect, so `version` may be old.
    bool version_uncertain = false;
    // When each renewal whose outcome is not known was sent.
    std::map<std::int64_t, std::chrono::nanoseconds> unconfirmed_renewals;
  };
  // A take whose answer was lost.
  struct PendingAcquisition {
    std::string nonce;
    FencingToken token;
    std::chrono::nanoseconds sent;
  };

  void ObserveLeaseRow();
  void Acquire(RowVersion version, FencingToken last_token);
  // Counts the lease as held from `valid_from`, unless that is too long ago.
  void BeginHolding(RowVersion version,
                    FencingToken token,
                    const std::string& nonce,
                    std::chrono::nanoseconds valid_from);
  void Renew();
  // Learns the row's version after a write with unknown outcome. False if the
  // store did not answer or the lease is lost.
  bool ReloadLeaseRow();
  void ExtendValidity(RowVersion version, std::chrono::nanoseconds valid_from);
  void EndHolding();
  internal::LeaseRow MakeLeaseRow(const HeldLease& held) const;
  std::chrono::nanoseconds GuardDeadline(
      std::chrono::nanoseconds valid_from) const;
  std::chrono::nanoseconds StepDownTime() const;
  // The store timeout, cut to the time left before the holder steps down.
  Millis RemainingTimeout() const;

  TableStore& store_;
  LeaseGuard& guard_;
  const InstanceId instance_;
  const LeaseSettings settings_;
  const BootClock clock_;
  std::optional<HeldLease> held_;
  std::optional<PendingAcquisition> pending_acquisition_;
  // The row's version as last seen without holding the lease, and since when.
  std::optional<RowVersion> observed_version_;
  std::chrono::nanoseconds observed_since_{0};
  // When the row is read next without holding the lease.
  std::chrono::nanoseconds next_observation_{0};
};

}  // namespace bamboomount

#endif  // CONTROLLER_LEASE_MANAGER_H_
