#ifndef LEASE_HOLDER_STOPPING_PLATFORM_H_
#define LEASE_HOLDER_STOPPING_PLATFORM_H_

#include <string>

#include "controller/controller.h"

namespace bamboomount {

// Forwards calls to the platform and stops this process with SIGSTOP, once, at
// the point `stop_at`, after printing {"stopped":"<point>"}. Points:
// "before-order", "after-order", "before-report" and "after-report"; "after"
// means that the platform has processed the call, but the caller has not
// received the result yet. Each order and report is sent after a delay of
// `send_delay`.
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
