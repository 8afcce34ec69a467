#ifndef GATEWAY_GATEWAY_SERVER_H_
#define GATEWAY_GATEWAY_SERVER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "gateway/connection_listener.h"
#include "gateway/discovery_protocol.h"
#include "gateway/forwarding/dispatcher.h"
#include "gateway/shutdown_schedule.h"

namespace bamboomount {

// Serves callers, address queries, readiness probes, other instances and the
// readers of metrics, each on an address of its own. Runs on the thread of the
// io_context and is not thread-safe.
class GatewayServer : private ConnectionListenerOwner {
 public:
  // Handles a row request of another instance, given the request target; empty
  // if the target is not a row request.
  using PeerRequestHandler =
      std::function<std::optional<std::string>(const std::string& target)>;

  // `dispatcher` and `discovery` must outlive the server.
  GatewayServer(Dispatcher& dispatcher,
                const DiscoveryProtocol& discovery,
                PeerRequestHandler peer_request_handler);
  ~GatewayServer() override;
  GatewayServer(const GatewayServer&) = delete;
  GatewayServer& operator=(const GatewayServer&) = delete;

  // Binds all addresses and starts to accept. Throws std::runtime_error if an
  // address cannot be parsed or bound.
  void Listen();
  // Begins a graceful shutdown. The instance is no longer ready, and requests
  // in progress are finished. New requests are still accepted for a short
  // period; after it, `done` is called once no caller's request is in progress.
  // When the stop deadline is near, those in progress get their final answers,
  // which is a failure or the end of the connection, and `done` is called.
  void BeginShutdown(std::function<void()> done);
  bool shutting_down() const override { return shutdown_started_.has_value(); }

 private:
  ConnectionListener& AddListener(ConnectionListener::Options options,
                                  ConnectionListener::Handler handler);
  void RunMaintenance();
  void ServeCaller(IncomingRequest request, std::shared_ptr<CallerReply> reply);
  void ServeReadiness(const IncomingRequest& request, CallerReply& reply);
  void ServeAddresses(const IncomingRequest& request, CallerReply& reply);
  // Answers a row request of another instance, or serves a request that it
  // relays.
  void ServePeer(IncomingRequest request, std::shared_ptr<CallerReply> reply);
  void ServeRelayed(IncomingRequest request,
                    std::shared_ptr<CallerReply> reply);
  // Whether new requests of callers are refused because of a shutdown.
  bool RefusesNewRequests() const;
  // Whether a request of a caller, also a relayed one, is in progress.
  bool IsBusy() const;
  void ServeMetrics(CallerReply& reply);
  // Soon closes connections if memory is exhausted.
  void OnMemoryCharged() override;
  void RelieveMemory();
  void ReportMemory(Instant now);
  void CountClosedConnections(const char* cause, std::size_t count) override;
  void ContinueShutdown(Instant now);
  // Gives the requests of callers in progress their final answers.
  void EndRequests();
  ShutdownSchedule Schedule() const;
  CallerLimits limits() const override;
  std::shared_ptr<MemoryBudget> memory() override { return memory_; }

  Dispatcher& dispatcher_;
  const DiscoveryProtocol& discovery_;
  const PeerRequestHandler peer_request_handler_;
  const std::shared_ptr<MemoryBudget> memory_;
  std::vector<std::unique_ptr<ConnectionListener>> listeners_;
  ConnectionListener* caller_listener_ = nullptr;
  // Null if the instance does not take part in gossip.
  ConnectionListener* peer_listener_ = nullptr;
  asio::steady_timer maintenance_timer_;
  bool relief_scheduled_ = false;
  MemoryState reported_state_ = MemoryState::kNormal;
  std::optional<Instant> last_report_;
  std::optional<Instant> shutdown_started_;
  std::function<void()> on_shutdown_done_;
};

}  // namespace bamboomount

#endif  // GATEWAY_GATEWAY_SERVER_H_
