#include "gateway/forwarding/backend_connection_pool.h"

#include <algorithm>
#include <array>
#include <utility>

namespace bamboomount {
namespace {

// Idle connections are closed after this fraction of the server's idle timeout.
// Later, the server's close could race with a new request.
constexpr double kMaxIdleFraction = 0.7;
// The same fraction for requests that must not be repeated. It is lower because
// a close by the server would leave open whether such a request ran.
constexpr double kMaxFreshIdleFraction = 0.5;

bool IsIdleWithin(const BackendConnection& connection,
                  double fraction,
                  Instant now) {
  return now - connection.idle_since < connection.idle_timeout * fraction;
}

// Whether the server has neither closed the connection nor sent anything on it.
bool IsReusable(BackendConnection& connection) {
  std::array<char, 1> probe{};
  error_code error;
  connection.socket.receive(asio::buffer(probe), tcp::socket::message_peek,
                            error);
  return error == asio::error::would_block;
}

}  // namespace

std::unique_ptr<BackendConnection> BackendConnectionPool::Acquire(
    const BackendId& server,
    bool fresh,
    Instant now) {
  IdleConnections& idle = idle_[server];
  while (!idle.empty()) {
    std::unique_ptr<BackendConnection> connection = std::move(idle.back());
    idle.pop_back();
    if (IsIdleWithin(*connection,
                     fresh ? kMaxFreshIdleFraction : kMaxIdleFraction, now) &&
        IsReusable(*connection))
      return connection;
    CountClosed(server);
  }
  return nullptr;
}

void BackendConnectionPool::Release(
    const BackendId& server,
    std::unique_ptr<BackendConnection> connection,
    Instant now) {
  connection->idle_since = now;
  idle_[server].push_back(std::move(connection));
}

void BackendConnectionPool::CloseExpired(Instant now) {
  for (auto& [server, idle] : idle_) {
    const auto expired = std::stable_partition(
        idle.begin(), idle.end(), [now](const auto& connection) {
          return IsIdleWithin(*connection, kMaxIdleFraction, now);
        });
    for (auto closed = expired; closed != idle.end(); ++closed)
      CountClosed(server);
    idle.erase(expired, idle.end());
  }
  std::erase_if(idle_, [](const auto& item) { return item.second.empty(); });
}

void BackendConnectionPool::CloseIdleConnections(const BackendId& server) {
  const auto idle = idle_.find(server);
  if (idle == idle_.end())
    return;
  for (std::size_t i = 0; i < idle->second.size(); ++i)
    CountClosed(server);
  idle_.erase(idle);
}

int BackendConnectionPool::OpenCount(const BackendId& server) const {
  const auto open = open_.find(server);
  return open == open_.end() ? 0 : open->second;
}

void BackendConnectionPool::CountClosed(const BackendId& server) {
  const auto open = open_.find(server);
  if (open != open_.end() && --open->second <= 0)
    open_.erase(open);
}

}  // namespace bamboomount
