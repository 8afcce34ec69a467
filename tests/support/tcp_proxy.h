#ifndef SUPPORT_TCP_PROXY_H_
#define SUPPORT_TCP_PROXY_H_

#include <chrono>
#include <memory>
#include <string>

namespace bamboomount::support {

// How a proxy treats its connections.
enum class LinkMode {
  kForward,
  // Takes bytes of either side and passes none on, as a partition does.
  kDropBothDirections,
  // Passes bytes to the target, and none back.
  kDropFromTarget,
  // Resets open connections and new ones.
  kReset,
};

// Stands between two processes on loopback and harms their link. Runs on a
// thread of its own; public functions may be called from any thread.
class TcpProxy {
 public:
  // Passes connections on to `target`, "ip:port".
  explicit TcpProxy(const std::string& target);
  ~TcpProxy();
  TcpProxy(const TcpProxy&) = delete;
  TcpProxy& operator=(const TcpProxy&) = delete;

  // Where clients connect, "ip:port".
  std::string address() const;
  void SetMode(LinkMode mode);
  // Holds each piece of bytes back for so long.
  void SetDelay(std::chrono::milliseconds delay);
  // Resets the connections that are open now.
  void ResetConnections();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bamboomount::support

#endif  // SUPPORT_TCP_PROXY_H_
