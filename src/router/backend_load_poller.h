#ifndef ROUTER_BACKEND_LOAD_POLLER_H_
#define ROUTER_BACKEND_LOAD_POLLER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/base.h"
#include "policy/policy.h"

namespace bamboomount {

// A backend server whose load report is polled.
struct PolledBackend {
  BackendId backend;
  // Address as "ip:port".
  std::string address;
};

// Polls the load reports (GET /load) of backend servers on its own thread.
// `interval` is the time between rounds and the timeout of each step of a poll.
// A round skips a server whose previous poll is still running. A failed poll
// gives no report, because the failures of a backend server show in the
// requests sent to it.
class BackendLoadPoller {
 public:
  // Called on the poller's thread at the start of each round, so that the
  // polled set follows the ownership of cells.
  using TargetProvider = std::function<std::vector<PolledBackend>()>;
  // Called on the poller's thread with each valid report.
  using Observer = std::function<void(const BackendId&, const LoadReport&)>;

  BackendLoadPoller(TargetProvider targets, Observer observer, Millis interval);
  ~BackendLoadPoller();
  BackendLoadPoller(const BackendLoadPoller&) = delete;
  BackendLoadPoller& operator=(const BackendLoadPoller&) = delete;

  // Call at most once.
  void Start();
  // Aborts running polls and waits for the thread to end.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bamboomount

#endif  // ROUTER_BACKEND_LOAD_POLLER_H_
