#include "stopping_platform.h"

#include <signal.h>

#include <iostream>
#include <thread>
#include <utility>

namespace bamboomount {

StoppingPlatform::StoppingPlatform(const std::string& address,
                                   std::string stop_at,
                                   Millis send_delay)
    : orders_(address),
      reports_(address),
      stop_at_(std::move(stop_at)),
      send_delay_(send_delay) {}

Result<void> StoppingPlatform::Submit(const BackendOrder& order,
                                      Millis timeout) {
  StopAtPoint("before-order");
  std::this_thread::sleep_for(send_delay_);
  auto sent = orders_.Submit(order, timeout);
  StopAtPoint("after-order");
  return sent;
}

Result<std::optional<BackendOrder>> StoppingPlatform::Find(
    const std::string& order_id,
    Millis timeout) {
  return orders_.Find(order_id, timeout);
}

Result<void> StoppingPlatform::Submit(const UsageReport& report,
                                      Millis timeout) {
  StopAtPoint("before-report");
  std::this_thread::sleep_for(send_delay_);
  auto sent = reports_.Submit(report, timeout);
  StopAtPoint("after-report");
  return sent;
}

void StoppingPlatform::StopAtPoint(const std::string& name) {
  if (name != stop_at_)
    return;
  stop_at_.clear();
  std::cout << R"({"stopped":")" << name << "\"}" << std::endl;
  raise(SIGSTOP);
}

}  // namespace bamboomount
