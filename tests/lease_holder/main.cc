// Holds the lease at a platform and sends an order at every planning step, for
// tests that stop and kill it.
#include <tclap/CmdLine.h>

#include <cstdlib>
#include <iostream>
#include <memory>
#include <string>

#include "controller/controller.h"
#include "stopping_platform.h"

namespace bamboomount {
namespace {

// For tests that show what the guard is for.
class NoLeaseGuard : public LeaseGuard {
 public:
  void Arm(std::chrono::nanoseconds) override {}
  void Disarm() override {}
};

class ConstantOrderStrategy : public CapacityStrategy {
 public:
  std::vector<BackendOrder> Plan(const CapacityContext&) override {
    return {
        {{}, ZoneId("z"), PoolId("p"), BackendKind::kFirm, 1, FencingToken(0)}};
  }
};

// Every duration is the production value times `lease` / 6 s.
ControllerSettings ScaledSettings(const std::string& instance,
                                  Millis lease,
                                  Millis window) {
  ControllerSettings settings;
  settings.instance = InstanceId(instance);
  settings.lease = {lease,      lease / 3, lease / 6, lease / 12,
                    lease / 12, lease / 6, lease / 30};
  settings.journal.store_timeout = lease / 6;
  settings.journal.order_timeout = lease / 6;
  settings.journal.resolve_timeout = lease;
  settings.usage.store_timeout = lease / 6;
  settings.usage.report_timeout = lease / 6;
  settings.usage.windows.length = window;
  settings.usage.windows.close_delay = window / 6;
  settings.step_interval = lease / 60;
  settings.plan_interval = lease / 30;
  return settings;
}

int Run(int argc, char** argv) {
  TCLAP::CmdLine command("Holds the controller lease");
  TCLAP::ValueArg<std::string> platform("", "platform", "Platform address",
                                        true, "", "ip:port", command);
  TCLAP::ValueArg<std::string> instance("", "instance", "Instance id", true, "",
                                        "id", command);
  TCLAP::ValueArg<int> lease("", "lease-ms", "Lease duration", false, 1500,
                             "ms", command);
  TCLAP::ValueArg<int> window("", "window-ms", "Usage window", false, 60000,
                              "ms", command);
  TCLAP::ValueArg<std::string> guard("", "guard", "kernel or none", false,
                                     "kernel", "kind", command);
  TCLAP::ValueArg<std::string> stop_at("", "stop-at", "Where to stop once",
                                       false, "", "point", command);
  TCLAP::ValueArg<int> send_delay("", "send-delay-ms",
                                  "Time between check and send", false, 0, "ms",
                                  command);
  command.parse(argc, argv);

  HttpTableStore store(platform.getValue());
  StoppingPlatform stopping_platform(platform.getValue(), stop_at.getValue(),
                                     Millis(send_delay.getValue()));
  ConstantOrderStrategy strategy;
  std::unique_ptr<LeaseGuard> lease_guard;
  if (guard.getValue() == "none") {
    lease_guard = std::make_unique<NoLeaseGuard>();
  } else {
    lease_guard = std::make_unique<KernelLeaseGuard>();
  }
  Controller controller(
      {store, stopping_platform, stopping_platform, strategy, *lease_guard},
      ScaledSettings(instance.getValue(), Millis(lease.getValue()),
                     Millis(window.getValue())));
  controller.Run();
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace bamboomount

int main(int argc, char** argv) {
  try {
    return bamboomount::Run(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return EXIT_FAILURE;
  }
}
