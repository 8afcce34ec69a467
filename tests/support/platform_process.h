#ifndef SUPPORT_PLATFORM_PROCESS_H_
#define SUPPORT_PLATFORM_PROCESS_H_

#include <string>
#include <vector>

#include "provider/provider.h"
#include "support/child_process.h"

namespace bamboomount::support {

// A standin_platform, running as a child process on a port chosen by the
// kernel. All functions throw std::runtime_error on failure. Not thread-safe.
class PlatformProcess {
 public:
  PlatformProcess();

  // "ip:port"
  const std::string& address() const { return address_; }
  ChildProcess& process() { return process_; }

  // Sends `json` to POST /faults. standins/platform/fault_switches.h and
  // endpoints.cc describe the switches.
  void SetFaults(const std::string& json);
  // Return the orders and usage reports that the platform has accepted, in
  // order of arrival.
  std::vector<BackendOrder> Orders();
  std::vector<UsageReport> Usage();

 private:
  ChildProcess process_;
  std::string address_;
};

}  // namespace bamboomount::support

#endif  // SUPPORT_PLATFORM_PROCESS_H_
