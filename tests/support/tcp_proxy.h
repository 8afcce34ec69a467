#ifndef SUPPORT_TCP_PROXY_H_
#define SUPPORT_TCP_PROXY_H_

#include <chrono>
#include <memory>
#include <string>

namespace bamboomount::support {

// How a proxy handles its connections.
enum class LinkMode {
  kForward,
  // Reads bytes from both sides and drops them, like a network partition.
  kDropBothDirections,
  // Forwards bytes to the target and drops those from it.
  kDropFromTarget,
  // Resets open and new connections.
  kReset,
  // Resets open connections and refuses new ones.
  kRefuse,
  // Forwards on open connections and refuses new ones.
  kRefuseNew,
  // Neither forwards anything nor completes new connections until the mode
  // changes; nothing is lost.
  kHang,
};

// TCP proxy between two processes on loopback that injects network faults. Runs
// on its own thread; public functions may be called from any other thread.
class TcpProxy {
 public:
  // Forwards connections to `target`, "ip:port". Throws
  // boost::system::system_error if it cannot listen.
  explicit TcpProxy(const std::string& target);
  ~TcpProxy();
  TcpProxy(const TcpProxy&) = delete;
  TcpProxy& operator=(const TcpProxy&) = delete;

  // The address that clients connect to, "ip:port".
  std::string address() const;
  // Applies to open connections, too. Blocks until it takes effect.
  void SetMode(LinkMode mode);
  // Delays each buffer of forwarded bytes by `delay`.
  void SetDelay(std::chrono::milliseconds delay);
  // Replaces `from` by `to`, a string of the same length, in the bytes from the
  // target. Does not find what is split between two reads of the proxy.
  void Replace(const std::string& from, const std::string& to);
  // Resets the connections that are currently open.
  void ResetConnections();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bamboomount::support

#endif  // SUPPORT_TCP_PROXY_H_
