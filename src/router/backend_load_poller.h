#ifndef ROUTER_BACKEND_LOAD_POLLER_H_
#define ROUTER_BACKEND_LOAD_POLLER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/base.h"
#include "policy/policy.h"

namespace bamboomount {

// A backend server whose load is to be read.
struct PolledBackend {
  BackendId backend;
  // "ip:port".
  std::string address;
};

// Reads the load reports of engines on a thread of its own. A backend server
// that does not answer within the interval is skipped; its failures show in
// the requests that it gets.
class BackendLoadPoller {
 public:
  // Asked at each round, so that the set follows the ownership of cells.
  using TargetProvider = std::function<std::vector<PolledBackend>()>;
  using Observer = std::function<void(const BackendId&, const LoadReport&)>;

  BackendLoadPoller(TargetProvider targets, Observer observer, Millis interval);
  ~BackendLoadPoller();
  BackendLoadPoller(const BackendLoadPoller&) = delete;
  BackendLoadPoller& operator=(const BackendLoadPoller&) = delete;

  void Start();
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bamboomount

#endif  // ROUTER_BACKEND_LOAD_POLLER_H_
