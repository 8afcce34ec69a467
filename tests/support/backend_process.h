#ifndef SUPPORT_BACKEND_PROCESS_H_
#define SUPPORT_BACKEND_PROCESS_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "support/child_process.h"

namespace bamboomount::support {

// A running stand-in for a backend server on a port of its own. Failures throw
// std::runtime_error.
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
  // JSON response to GET `target`.
  nlohmann::json Get(const std::string& target);
  // Requests that a plain service executed.
  std::vector<nlohmann::json> ExecutedRequests();
  // All requests to it as they arrived.
  std::vector<nlohmann::json> ReceivedRequests();

 private:
  ChildProcess process_;
  std::string address_;
};

}  // namespace bamboomount::support

#endif  // SUPPORT_BACKEND_PROCESS_H_
