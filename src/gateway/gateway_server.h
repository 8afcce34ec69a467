#ifndef GATEWAY_GATEWAY_SERVER_H_
#define GATEWAY_GATEWAY_SERVER_H_

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "gateway/entry_calls.h"
#include "gateway/forwarding/caller_connection.h"
#include "gateway/forwarding/dispatcher.h"

namespace bamboomount {

// Listens for callers, for questions about addresses and readiness, and for
// readers of metrics, and serves them on one thread.
class GatewayServer {
 public:
  // Answers other instances' questions for rows, given the call's target;
  // empty for other calls.
  using PeerAnswer =
      std::function<std::optional<std::string>(const std::string& target)>;

  GatewayServer(Dispatcher& dispatcher,
                const EntryCalls& calls,
                PeerAnswer peer_answer);
  ~GatewayServer();
  GatewayServer(const GatewayServer&) = delete;
  GatewayServer& operator=(const GatewayServer&) = delete;

  // Throws std::runtime_error if an address cannot be used.
  void Listen();
  // Begins a planned stop: the instance is no longer ready, requests in
  // progress are finished, and `done` is called once all is served or nothing
  // more may be waited for.
  void BeginStop(std::function<void()> done);
  bool leaving() const { return leaving_since_.has_value(); }

 private:
  class Listener;

  void Sweep();
  void ServeCaller(IncomingRequest request, std::shared_ptr<CallerReply> reply);
  void ServeReadiness(const IncomingRequest& request, CallerReply& reply);
  void ServeAddresses(const IncomingRequest& request, CallerReply& reply);
  void ServePeer(const IncomingRequest& request, CallerReply& reply);
  void ServeMetrics(CallerReply& reply);
  bool TryReserve(std::size_t bytes);
  void Unreserve(std::size_t bytes) { reserved_bytes_ -= bytes; }
  void ContinueStop(Instant now);
  CallerLimits limits() const;

  Dispatcher& dispatcher_;
  const EntryCalls& calls_;
  const PeerAnswer peer_answer_;
  std::vector<std::unique_ptr<Listener>> listeners_;
  Listener* callers_ = nullptr;
  asio::steady_timer sweep_timer_;
  std::size_t reserved_bytes_ = 0;
  std::optional<Instant> leaving_since_;
  std::function<void()> stopped_;
};

}  // namespace bamboomount

#endif  // GATEWAY_GATEWAY_SERVER_H_
