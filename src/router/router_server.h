#ifndef ROUTER_ROUTER_SERVER_H_
#define ROUTER_ROUTER_SERVER_H_

#include <memory>
#include <string>

#include "router/router_options.h"

namespace bamboomount {

// HTTP server for callers. The methods other than Start are thread-safe.
class RouterServer {
 public:
  RouterServer(RouterOptions options, RouterDependencies dependencies);
  // Stops immediately and aborts running requests.
  ~RouterServer();
  RouterServer(const RouterServer&) = delete;
  RouterServer& operator=(const RouterServer&) = delete;

  // Opens the listener and starts the threads. Throws
  // boost::system::system_error if the address or the TLS files cannot be used.
  void Start();
  // Bound address as "ip:port", with the port that the system chose for port 0.
  // Valid after Start.
  std::string listen_address() const;

  // Graceful shutdown: keeps accepting connections for the time of
  // AddressTimeToLive, then closes the listener and blocks until all running
  // requests have ended and all connections are closed.
  void Drain();

  // Number of requests in progress.
  int running_requests() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bamboomount

#endif  // ROUTER_ROUTER_SERVER_H_
