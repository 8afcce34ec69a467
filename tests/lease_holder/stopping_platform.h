#ifndef LEASE_HOLDER_STOPPING_PLATFORM_H_
#define LEASE_HOLDER_STOPPING_PLATFORM_H_

#include <string>

#include "controller/controller.h"

namespace bamboomount {

// Passes calls on to the platform and stops this process with SIGSTOP at one
// chosen point, after printing {"stopped":"<point>"}. Points: "before-order",
// "after-order", "before-report", "after-report"; "after" is once the platform
// has the call and before this program knows. Stops once only. Each call is
// sent `send_delay` after it was asked for.
class StoppingPlatform : public BackendOrders, public UsageReports {
 public:
  StoppingPlatform(const std::string& address,
                   std::string stop_at,
                   Millis send_delay);

  Result<void> Submit(const BackendOrder& order, Millis timeout) override;
  Result<std::optional<BackendOrder>> Find(const std::string& order_id,
                                           Millis timeout) override;
  Result<void> Submit(const UsageReport& report, Millis timeout) override;

 private:
  void StopAtPoint(const std::string& name);

  HttpBackendOrders orders_;
  HttpUsageReports reports_;
  std::string stop_at_;
  const Millis send_delay_;
};

}  // namespace bamboomount

#endif  // LEASE_HOLDER_STOPPING_PLATFORM_H_
