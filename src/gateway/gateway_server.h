#ifndef GATEWAY_GATEWAY_SERVER_H_
#define GATEWAY_GATEWAY_SERVER_H_

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "gateway/discovery_protocol.h"
#include "gateway/forwarding/caller_connection.h"
#include "gateway/forwarding/dispatcher.h"

namespace bamboomount {

// Listens for callers, for questions about addresses and readiness, and for
// readers of metrics, and serves them on one thread.
class GatewayServer {
 public:
  // Answers other instances' questions for rows, given the call's target;
  // empty for other calls.
  using PeerRequestHandler =
      std::function<std::optional<std::string>(const std::string& target)>;

  GatewayServer(Dispatcher& dispatcher,
                const DiscoveryProtocol& discovery,
                PeerRequestHandler peer_request_handler);
  ~GatewayServer();
  GatewayServer(const GatewayServer&) = delete;
  GatewayServer& operator=(const GatewayServer&) = delete;

  // Throws std::runtime_error if an address cannot be used.
  void Listen();
  // Begins a planned stop: the instance is no longer ready, requests in
  // progress are finished, and `done` is called once all is served or nothing
  // more may be waited for.
  void BeginShutdown(std::function<void()> done);
  bool shutting_down() const { return shutdown_started_.has_value(); }

 private:
  class Listener;

  void RunMaintenance();
  void ServeCaller(IncomingRequest request, std::shared_ptr<CallerReply> reply);
  void ServeReadiness(const IncomingRequest& request, CallerReply& reply);
  void ServeAddresses(const IncomingRequest& request, CallerReply& reply);
  void ServePeer(const IncomingRequest& request, CallerReply& reply);
  void ServeMetrics(CallerReply& reply);
  bool TryReserveBodyMemory(std::size_t bytes);
  void ReleaseBodyMemory(std::size_t bytes) { reserved_body_bytes_ -= bytes; }
  void ContinueShutdown(Instant now);
  CallerLimits limits() const;

  Dispatcher& dispatcher_;
  const DiscoveryProtocol& discovery_;
  const PeerRequestHandler peer_request_handler_;
  std::vector<std::unique_ptr<Listener>> listeners_;
  Listener* caller_listener_ = nullptr;
  asio::steady_timer maintenance_timer_;
  std::size_t reserved_body_bytes_ = 0;
  std::optional<Instant> shutdown_started_;
  std::function<void()> on_shutdown_done_;
};

}  // namespace bamboomount

#endif  // GATEWAY_GATEWAY_SERVER_H_
