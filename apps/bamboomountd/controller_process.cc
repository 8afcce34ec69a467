#include "controller_process.h"

#include <iostream>
#include <thread>

#include "controller/controller.h"
#include "events.h"
#include "provider/http_backend_orders.h"
#include "provider/http_table_store.h"
#include "provider/http_usage_reports.h"

namespace bamboomount {
namespace {

// Orders nothing; the fleet stays as the operators configured it.
class FixedFleetStrategy : public CapacityStrategy {
 public:
  std::vector<BackendOrder> Plan(const CapacityContext& /*context*/) override {
    return {};
  }
};

}  // namespace

void RunControllerProcess(const ProcessSettings& settings,
                          const StopSignal& stop) {
  HttpTableStore table(settings.platform_address);
  HttpBackendOrders orders(settings.platform_address);
  HttpUsageReports reports(settings.platform_address);
  FixedFleetStrategy strategy;
  KernelLeaseGuard guard;
  ControllerSettings controller_settings;
  controller_settings.instance = settings.instance;
  Controller controller({table, orders, reports, strategy, guard},
                        controller_settings);
  std::thread worker([&] { controller.Run(); });
  std::cout << R"({"running":"controller"})" << std::endl;
  Log(kStopRequested, {{"signal", std::to_string(stop.Wait())}});
  controller.Stop();
  worker.join();
}

}  // namespace bamboomount
