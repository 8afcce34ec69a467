// Public header of the controller library: what only one process of the fleet
// may do. It orders backend servers, seals and reports usage windows.
#ifndef CONTROLLER_CONTROLLER_H_
#define CONTROLLER_CONTROLLER_H_

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <optional>

#include "controller/capacity_strategy.h"
#include "controller/journal_entry.h"
#include "controller/kernel_lease_guard.h"
#include "controller/lease_guard.h"
#include "controller/lease_manager.h"
#include "controller/lease_settings.h"
#include "controller/lease_view.h"
#include "controller/order_journal.h"
#include "controller/usage_sealer.h"
#include "provider/provider.h"

namespace bamboomount {

struct ControllerSettings {
  InstanceId instance;
  LeaseSettings lease;
  OrderJournalSettings journal;
  UsageSealerSettings usage;
  // Time between two steps.
  Millis step_interval{200};
  // Time between two calls of the spending strategy.
  Millis plan_interval{1000};
};

// What the controller works with; everything must outlive it.
struct ControllerDependencies {
  TableStore& store;
  BackendOrders& orders;
  UsageReports& reports;
  CapacityStrategy& strategy;
  LeaseGuard& guard;
};

// For status and metrics.
struct ControllerStatus {
  bool holds_lease = false;
  // 0 while the lease is not held.
  FencingToken fencing_token;
  std::size_t unresolved_orders = 0;
  std::uint64_t orders_accepted = 0;
  std::uint64_t windows_reported = 0;
  // Empty until this process has held the lease.
  std::optional<UsageWindow> next_window;
};

// Every instance runs one; the one that holds the lease acts.
class Controller {
 public:
  Controller(const ControllerDependencies& dependencies,
             const ControllerSettings& settings,
             const BootClock& boot_clock = BootTimeNow,
             const WallClock& wall_clock = std::chrono::system_clock::now);

  // Works until Stop is called, then gives up the lease. Call it once.
  void Run();
  // Makes Run return; it may be called from any thread and before Run. The
  // call in progress ends first.
  void Stop();

  // One round of work, without waiting. For tests and for Run.
  void Step();

  // Thread-safe; as of the end of the last step.
  ControllerStatus status() const;

 private:
  void PlanAndOrder();
  void PublishStatus();
  bool WaitForNextStep();

  const ControllerSettings settings_;
  const BootClock boot_clock_;
  CapacityStrategy& strategy_;
  LeaseManager lease_;
  OrderJournal journal_;
  UsageSealer sealer_;
  std::chrono::nanoseconds next_plan_{0};
  std::uint64_t orders_accepted_ = 0;
  std::uint64_t windows_reported_ = 0;

  mutable std::mutex mutex_;
  std::condition_variable stop_changed_;
  bool stopping_ = false;
  ControllerStatus status_;
};

}  // namespace bamboomount

#endif  // CONTROLLER_CONTROLLER_H_
