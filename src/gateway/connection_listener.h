#ifndef GATEWAY_CONNECTION_LISTENER_H_
#define GATEWAY_CONNECTION_LISTENER_H_

#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include "gateway/forwarding/caller_connection.h"

namespace bamboomount {

// The server of listeners, as they see it.
class ConnectionListenerOwner {
 public:
  virtual ~ConnectionListenerOwner() = default;

  virtual CallerLimits limits() const = 0;
  virtual bool shutting_down() const = 0;
  // The budget that the memory of connections is charged to.
  virtual std::shared_ptr<MemoryBudget> memory() = 0;
  // Called when a connection uses more memory than before.
  virtual void OnMemoryCharged() = 0;
  // Counts connections that were closed for lack of a resource.
  virtual void CountClosedConnections(const char* cause, std::size_t count) = 0;
};

// One listening address and its connections. Not thread-safe; runs on the
// thread of the io_context.
class ConnectionListener : public CallerConnectionOwner {
 public:
  using Handler =
      std::function<void(IncomingRequest, std::shared_ptr<CallerReply>)>;

  struct Options {
    // "ip:port".
    std::string address;
    // Beyond it, the connection that matters least is closed.
    std::size_t max_connections = 1;
    // Whether requests are refused when memory is scarce. Probes and other
    // instances must be answered under load.
    bool refuses_when_scarce = false;
  };

  // Starts to accept. Throws std::runtime_error if the address is invalid or
  // boost::system::system_error if it cannot be bound. `owner` must outlive the
  // listener.
  ConnectionListener(asio::io_context& context,
                     ConnectionListenerOwner& owner,
                     Options options,
                     Handler handler);

  void OnRequest(IncomingRequest request,
                 std::shared_ptr<CallerReply> reply) override;
  CallerLimits limits() const override { return owner_.limits(); }
  bool shutting_down() const override { return owner_.shutting_down(); }
  std::shared_ptr<MemoryBudget> memory() override { return owner_.memory(); }
  bool refuses_requests() const override;
  void OnMemoryCharged() override { owner_.OnMemoryCharged(); }

  const std::list<std::shared_ptr<CallerConnection>>& connections() const {
    return connections_;
  }
  // Whether a request is in progress or has arrived.
  bool IsBusy() const;
  // "ip:port" with the port that is actually bound.
  std::string address() const;

  void EraseClosed();
  void CheckTimeouts(Instant now);
  // Accepts the connections that are pending, and then no more.
  void StopAccepting();
  void CloseIdle();

 private:
  void Accept();
  void AcceptLater();
  // Accepts the connections that the kernel has completed. Closing the listener
  // would reset them, although their callers may have sent a request.
  void AcceptPendingConnections();
  void StartConnection(tcp::socket socket);
  // Closes the connection that matters least, to accept another one. Returns
  // false if every caller waits for a backend server.
  bool CloseOneConnection();

  ConnectionListenerOwner& owner_;
  const Options options_;
  const Handler handler_;
  tcp::acceptor acceptor_;
  asio::steady_timer retry_timer_;
  std::list<std::shared_ptr<CallerConnection>> connections_;
};

}  // namespace bamboomount

#endif  // GATEWAY_CONNECTION_LISTENER_H_
