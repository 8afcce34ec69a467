// Public header of the controller library: the tasks that only one process of
// the fleet may do at a time. It orders backend servers, and seals and reports
// usage windows.
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
  // Pause between two steps.
  Millis step_interval{200};
  // Minimum time between two calls of the capacity strategy.
  Millis plan_interval{1000};
};

// Interfaces that the controller uses. All must outlive it.
struct ControllerDependencies {
  TableStore& store;
  BackendOrders& orders;
  UsageReports& reports;
  CapacityStrategy& strategy;
  LeaseGuard& guard;
};

// Snapshot of the controller's state for status pages and metrics.
struct ControllerStatus {
  bool holds_lease = false;
  // 0 while the lease is not held.
  FencingToken fencing_token;
  std::size_t unresolved_orders = 0;
  std::uint64_t orders_accepted = 0;
  std::uint64_t windows_reported = 0;
  // The oldest window that is not reported. Empty until this process has held
  // the lease.
  std::optional<UsageWindow> next_window;
};

// Every instance runs a controller. Only the one that holds the lease orders
// backend servers and reports usage. Run or Step is called from one thread;
// Stop and status are thread-safe.
class Controller {
 public:
  Controller(const ControllerDependencies& dependencies,
             const ControllerSettings& settings,
             const BootClock& boot_clock = BootTimeNow,
             const WallClock& wall_clock = std::chrono::system_clock::now);

  // Runs steps until Stop is called, then gives up the lease. Must be called at
  // most once.
  void Run();
  // Makes Run return after the step in progress. May be called from any thread,
  // and before Run.
  void Stop();

  // Does one round of work without a pause after it. Called by Run and by
  // tests.
  void Step();

  // Returns the status as of the end of the last step. Thread-safe.
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
