#include "controller/controller.h"

namespace bamboomount {

Controller::Controller(const ControllerDependencies& dependencies,
                       const ControllerSettings& settings,
                       const BootClock& boot_clock,
                       const WallClock& wall_clock)
    : settings_(settings),
      boot_clock_(boot_clock),
      strategy_(dependencies.strategy),
      lease_(dependencies.store,
             dependencies.guard,
             settings.instance,
             settings.lease,
             boot_clock),
      journal_(dependencies.store,
               dependencies.orders,
               lease_,
               settings.journal,
               boot_clock),
      sealer_(dependencies.store,
              dependencies.reports,
              lease_,
              settings.usage,
              wall_clock) {}

void Controller::Run() {
  do {
    Step();
  } while (WaitForNextStep());
  // An order that may still be on its way must not meet a holder that took
  // over without waiting; its lease runs out instead.
  if (journal_.unresolved_count() == 0) {
    lease_.Release();
  } else {
    lease_.StepDown();
  }
  PublishStatus();
}

void Controller::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  stop_changed_.notify_all();
}

void Controller::Step() {
  lease_.Step();
  if (lease_.holds() && journal_.ResolveOrders())
    PlanAndOrder();
  if (sealer_.Step())
    ++windows_reported_;
  PublishStatus();
}

ControllerStatus Controller::status() const {
  const std::lock_guard lock(mutex_);
  return status_;
}

void Controller::PlanAndOrder() {
  const auto now = boot_clock_();
  if (now < next_plan_)
    return;
  next_plan_ = now + settings_.plan_interval;
  for (const BackendOrder& order : strategy_.Plan({journal_.resolved()})) {
    lease_.Step();
    const auto state = journal_.SubmitOrder(order);
    if (state == OrderState::kAccepted)
      ++orders_accepted_;
    // The strategy plans again once the fate of this order is known.
    if (state != OrderState::kAccepted)
      return;
  }
}

void Controller::PublishStatus() {
  const std::lock_guard lock(mutex_);
  status_ = {lease_.holds(),   lease_.token(),    journal_.unresolved_count(),
             orders_accepted_, windows_reported_, sealer_.next_window()};
}

bool Controller::WaitForNextStep() {
  std::unique_lock lock(mutex_);
  return !stop_changed_.wait_for(lock, settings_.step_interval,
                                 [this] { return stopping_; });
}

}  // namespace bamboomount
