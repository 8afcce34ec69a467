#ifndef ROUTER_INTERNAL_CALLER_SESSION_H_
#define ROUTER_INTERNAL_CALLER_SESSION_H_

#include <atomic>
#include <boost/asio/ssl/context.hpp>
#include <memory>

#include "router/internal/request_handler.h"

namespace bamboomount {

// Objects of the server that a session uses; they must outlive the session.
struct SessionEnvironment {
  RequestHandler& handler;
  Metrics& metrics;
  const ControlStateHolder& state;
  // True during a graceful shutdown from the closing of the listener on:
  // sessions then end after their current request.
  const std::atomic<bool>& closing;
};

// One connection of a caller.
class CallerSession {
 public:
  virtual ~CallerSession() = default;
  // Closes the connection unless a request is being read or served.
  // Thread-safe.
  virtual void CloseIfIdle() = 0;
};

// Starts a session that serves the requests on `socket` until it closes. A null
// `tls` means plain HTTP.
std::shared_ptr<CallerSession> StartCallerSession(
    tcp::socket socket,
    asio::ssl::context* tls,
    SessionEnvironment environment);

}  // namespace bamboomount

#endif  // ROUTER_INTERNAL_CALLER_SESSION_H_
