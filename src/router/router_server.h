#ifndef ROUTER_ROUTER_SERVER_H_
#define ROUTER_ROUTER_SERVER_H_

#include <memory>
#include <string>

#include "router/router_options.h"

namespace bamboomount {

// Serves callers. Thread-safe.
class RouterServer {
 public:
  RouterServer(RouterOptions options, RouterDependencies dependencies);
  // Stops at once; running requests are cut.
  ~RouterServer();
  RouterServer(const RouterServer&) = delete;
  RouterServer& operator=(const RouterServer&) = delete;

  // Listens and starts the threads. Throws boost::system::system_error if the
  // address cannot be used.
  void Start();
  // Address that callers connect to, with the port that was taken.
  std::string listen_address() const;

  // Planned stop: goes on accepting for the address time to live, then closes
  // the listener and waits until all running requests have ended. Blocks.
  void Drain();

  // Requests that are running now.
  int running_requests() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bamboomount

#endif  // ROUTER_ROUTER_SERVER_H_
