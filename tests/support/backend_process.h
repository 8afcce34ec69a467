#ifndef SUPPORT_BACKEND_PROCESS_H_
#define SUPPORT_BACKEND_PROCESS_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "support/child_process.h"

namespace bamboomount::support {

// A stand-in for a backend server, running as a child process on a port chosen
// by the kernel. All functions throw std::runtime_error on failure. Not
// thread-safe.
class BackendProcess {
 public:
  // `program` is the path of standin_engine or standin_service.
  BackendProcess(const std::string& program,
                 std::vector<std::string> arguments);

  // "ip:port"
  const std::string& address() const { return address_; }
  ChildProcess& process() { return process_; }

  // Replaces all fault switches; "{}" clears them.
  void SetFaults(const std::string& json);
  // Returns the JSON response to GET `target`.
  nlohmann::json Get(const std::string& target);
  // Returns the requests that a standin_service executed, in order.
  std::vector<nlohmann::json> ExecutedRequests();
  // Returns the requests that the stand-in received, executed or not, in order.
  // Only the most recent ones are retained.
  std::vector<nlohmann::json> ReceivedRequests();

 private:
  ChildProcess process_;
  std::string address_;
};

}  // namespace bamboomount::support

#endif  // SUPPORT_BACKEND_PROCESS_H_
