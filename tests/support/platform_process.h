#ifndef SUPPORT_PLATFORM_PROCESS_H_
#define SUPPORT_PLATFORM_PROCESS_H_

#include <string>
#include <vector>

#include "provider/provider.h"
#include "support/child_process.h"

namespace bamboomount::support {

// A running standin_platform on a port of its own. Failures throw
// std::runtime_error.
class PlatformProcess {
 public:
  PlatformProcess();

  // "ip:port"
  const std::string& address() const { return address_; }
  ChildProcess& process() { return process_; }

  // Sends `json` to POST /faults.
  void SetFaults(const std::string& json);
  // Everything received so far, in order of arrival.
  std::vector<BackendOrder> Orders();
  std::vector<UsageReport> Usage();

 private:
  ChildProcess process_;
  std::string address_;
};

}  // namespace bamboomount::support

#endif  // SUPPORT_PLATFORM_PROCESS_H_
