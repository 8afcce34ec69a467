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
// At most one call is open at a time, and none is sent without enough time left
// on the lease.
class DutyRunner {
 public:
  // Time on the lease that a call needs: its timeout and some way.
  static constexpr Millis kMinLeaseForCall{1000};

  DutyRunner(AsyncTableStore& store, DutyClient& client, GatewayState& state);

  // Called once per heartbeat. `lease` is held or not.
  void Step(const DutyLease& lease, Instant now);
  // The lease was taken anew: what the last holder left is read first.
  void OnLeaseTaken();

 private:
  // Takes the next step toward the report of a window that has ended.
  void AdvanceUsage();
  void LoadSeals();
  // Reads what the instances wrote, and seals the next window with it.
  void SealNext(Instant now);
  void OnUsageRead(WindowNumber window, const std::vector<TableRow>& rows);
  void CommitSeal(const UsageSeal& seal, const UsageByIncarnation& stored);
  void ReportNext();
  void PlanOrders(Instant now);
  void SendOrders();
  DutyHolder Holder(const DutyLease& lease) const;

  AsyncTableStore& store_;
  DutyClient& client_;
  GatewayState& state_;
  UsageSchedule schedule_;
  FleetPlanner planner_;
  std::deque<BackendOrder> orders_;
  // The lease of the last step; set while it is held.
  const DutyLease* lease_ = nullptr;
  bool seals_loaded_ = false;
  // The window whose figures are waited for, and since when.
  WindowNumber pending_window_;
  Instant pending_since_;
  bool usage_call_in_flight_ = false;
  bool order_in_flight_ = false;
};

}  // namespace bamboomount

#endif  // GATEWAY_CONTROL_DUTY_RUNNER_H_
