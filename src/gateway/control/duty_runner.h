#ifndef GATEWAY_CONTROL_DUTY_RUNNER_H_
#define GATEWAY_CONTROL_DUTY_RUNNER_H_

#include <deque>
#include <optional>
#include <string>

#include "gateway/control/async_table_store.h"
#include "gateway/control/duty_client.h"
#include "gateway/duties/duty_lease.h"
#include "gateway/duties/fleet_planner.h"
#include "gateway/duties/incarnation_usage.h"
#include "gateway/duties/usage_seal.h"
#include "gateway/gateway_state.h"

namespace bamboomount {

// Reports usage and orders backend servers while this instance holds the lease.
// At most one call for usage and one order are in flight at a time, and none is
// sent unless the lease is held for kMinLeaseForCall longer. Not thread-safe.
class DutyRunner {
 public:
  // Remaining lease time that a call needs: its timeout plus transit time.
  static constexpr Millis kMinLeaseForCall{1000};

  DutyRunner(AsyncTableStore& store,
             DutyClient& client,
             GatewayState& state,
             Incarnation incarnation);

  // Starts the calls that are due, if the lease is held for long enough. Called
  // after each write of the lease's row. `lease` must outlive this object.
  void Step(const DutyLease& lease, Instant now);
  // Called when the lease was acquired anew. Discards the state of the previous
  // tenure; the seals are read from the store again.
  void OnLeaseTaken();

 private:
  // Performs the next operation toward reporting a window that has ended.
  void AdvanceUsage();
  void LoadSeals();
  // Reads the stored counts of all incarnations and seals the next window.
  void SealNext(Instant now);
  // The counts of all incarnations, as far as they have arrived here.
  UsageByIncarnation CollectUsage(const UsageByIncarnation& stored) const;
  void MarkSealed(const UsageSeal& seal);
  void OnUsageRead(WindowNumber window, const std::vector<TableRow>& rows);
  void CommitSeal(const UsageSeal& seal, const UsageByIncarnation& stored);
  void ReportNext();
  // Whether the response is of the era in which the lease is held. Others say
  // nothing about this tenure.
  bool IsOfTenure(const StoreResponseInfo& info) const;
  void PlanOrders(Instant now);
  void SendOrders();
  DutyHolder Holder(const DutyLease& lease) const;

  AsyncTableStore& store_;
  DutyClient& client_;
  GatewayState& state_;
  const Incarnation incarnation_;
  UsageSchedule schedule_;
  FleetPlanner planner_;
  std::deque<BackendOrder> orders_;
  // The lease passed to the last Step; null before the first one.
  const DutyLease* lease_ = nullptr;
  bool seals_loaded_ = false;
  // The window whose counts are awaited, and since when.
  WindowNumber pending_window_;
  Instant pending_since_;
  bool usage_call_in_flight_ = false;
  bool order_in_flight_ = false;
};

}  // namespace bamboomount

#endif  // GATEWAY_CONTROL_DUTY_RUNNER_H_
