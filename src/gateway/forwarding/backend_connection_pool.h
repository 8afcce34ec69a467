#ifndef GATEWAY_FORWARDING_BACKEND_CONNECTION_POOL_H_
#define GATEWAY_FORWARDING_BACKEND_CONNECTION_POOL_H_

#include <map>
#include <memory>
#include <vector>

#include "gateway/boot_clock.h"
#include "gateway/internal/asio.h"

namespace bamboomount {

// A connection to a backend server. Its bytes are read through `buffer`.
struct BackendConnection {
  explicit BackendConnection(asio::io_context& context) : socket(context) {}

  tcp::socket socket;
  beast::flat_buffer buffer;
  // How long the server keeps it without a request.
  Millis idle_timeout{0};
  Instant idle_since;
};

// The kept connections to each backend server. A connection is used again only
// while its server surely still holds it open and nothing has arrived on it.
class BackendConnectionPool {
 public:
  // `fresh`: only a connection that was used a short time ago, for a request
  // that cannot be sent again if the connection closes under it.
  std::unique_ptr<BackendConnection> Acquire(const BackendId& server,
                                             bool fresh,
                                             Instant now);
  void Release(const BackendId& server,
               std::unique_ptr<BackendConnection> connection,
               Instant now);
  // Closes connections that are past their time.
  void CloseExpired(Instant now);
  void CloseIdleConnections(const BackendId& server);

  // Open connections to a server, in use or kept.
  int OpenCount(const BackendId& server) const;
  void CountOpened(const BackendId& server) { ++open_[server]; }
  void CountClosed(const BackendId& server);

 private:
  using IdleConnections = std::vector<std::unique_ptr<BackendConnection>>;

  std::map<BackendId, IdleConnections> idle_;
  std::map<BackendId, int> open_;
};

}  // namespace bamboomount

#endif  // GATEWAY_FORWARDING_BACKEND_CONNECTION_POOL_H_
