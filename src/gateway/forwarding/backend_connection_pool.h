#ifndef GATEWAY_FORWARDING_BACKEND_CONNECTION_POOL_H_
#define GATEWAY_FORWARDING_BACKEND_CONNECTION_POOL_H_

#include <map>
#include <memory>
#include <vector>

#include "base/bounded_http_reader.h"
#include "gateway/boot_clock.h"
#include "gateway/internal/asio.h"

namespace bamboomount {

// A connection to a backend server. All reads go through `reader`, which bounds
// what is buffered.
struct BackendConnection {
  explicit BackendConnection(asio::io_context& context) : socket(context) {}

  tcp::socket socket;
  BoundedHttpReader reader;
  // How long the server keeps the connection open while it is idle.
  Millis idle_timeout{0};
  Instant idle_since;
};

// Idle connections to each backend server, for reuse. A connection is reused
// only while the server is certain to keep it open and nothing has arrived on
// it. Not thread-safe.
class BackendConnectionPool {
 public:
  // Returns an idle connection to `server`, or null if none can be reused. With
  // `fresh`, only a recently used connection is returned; this is for requests
  // that must not be sent again if the server closes the connection.
  std::unique_ptr<BackendConnection> Acquire(const BackendId& server,
                                             bool fresh,
                                             Instant now);
  // Returns a connection to the pool for reuse.
  void Release(const BackendId& server,
               std::unique_ptr<BackendConnection> connection,
               Instant now);
  // Closes connections that have been idle for too long.
  void CloseExpired(Instant now);
  // Closes all idle connections to a server.
  void CloseIdleConnections(const BackendId& server);

  // Number of open connections to a server, in use or idle.
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
