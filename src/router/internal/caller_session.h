#ifndef ROUTER_INTERNAL_CALLER_SESSION_H_
#define ROUTER_INTERNAL_CALLER_SESSION_H_

#include <atomic>
#include <boost/asio/ssl/context.hpp>
#include <memory>

#include "router/internal/request_handler.h"

namespace bamboomount {

// What a session needs from the server that accepted it.
struct SessionEnvironment {
  RequestHandler& handler;
  Metrics& metrics;
  const ControlStateHolder& state;
  // Set once the listener is closed: sessions end after their request.
  const std::atomic<bool>& closing;
};

// One connection of a caller.
class CallerSession {
 public:
  virtual ~CallerSession() = default;
  // Closes the connection if no request is being read or served. Any thread.
  virtual void CloseIfIdle() = 0;
};

// Serves requests on `socket` until it closes. `tls` may be null.
std::shared_ptr<CallerSession> StartCallerSession(
    tcp::socket socket,
    asio::ssl::context* tls,
    SessionEnvironment environment);

}  // namespace bamboomount

#endif  // ROUTER_INTERNAL_CALLER_SESSION_H_
