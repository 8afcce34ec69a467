#include "gateway/forwarding/backend_connections.h"

#include <algorithm>
#include <array>
#include <utility>

namespace bamboomount {
namespace {

// Part of the server's own limit after which a kept connection is closed: its
// close would otherwise cross a request.
constexpr double kKeepPart = 0.7;
// The same for a request that cannot be repeated.
constexpr double kFreshPart = 0.5;

bool IsWithin(const BackendConnection& connection, double part, Instant now) {
  return now - connection.idle_since < connection.idle_timeout * part;
}

// Whether the server neither closed the connection nor sent anything on it.
bool IsQuiet(BackendConnection& connection) {
  std::array<char, 1> probe{};
  error_code error;
  connection.socket.receive(asio::buffer(probe), tcp::socket::message_peek,
                            error);
  return error == asio::error::would_block;
}

}  // namespace

std::unique_ptr<BackendConnection>
BackendConnections::Take(const BackendId& server, bool fresh, Instant now) {
  Idle& idle = idle_[server];
  while (!idle.empty()) {
    std::unique_ptr<BackendConnection> connection = std::move(idle.back());
    idle.pop_back();
    if (IsWithin(*connection, fresh ? kFreshPart : kKeepPart, now) &&
        IsQuiet(*connection))
      return connection;
    NoteClosed(server);
  }
  return nullptr;
}

void BackendConnections::Keep(const BackendId& server,
                              std::unique_ptr<BackendConnection> connection,
                              Instant now) {
  connection->idle_since = now;
  idle_[server].push_back(std::move(connection));
}

void BackendConnections::Sweep(Instant now) {
  for (auto& [server, idle] : idle_) {
    const auto expired = std::stable_partition(
        idle.begin(), idle.end(), [now](const auto& connection) {
          return IsWithin(*connection, kKeepPart, now);
        });
    for (auto closed = expired; closed != idle.end(); ++closed)
      NoteClosed(server);
    idle.erase(expired, idle.end());
  }
  std::erase_if(idle_, [](const auto& item) { return item.second.empty(); });
}

void BackendConnections::Drop(const BackendId& server) {
  const auto idle = idle_.find(server);
  if (idle == idle_.end())
    return;
  for (std::size_t i = 0; i < idle->second.size(); ++i)
    NoteClosed(server);
  idle_.erase(idle);
}

int BackendConnections::OpenCount(const BackendId& server) const {
  const auto open = open_.find(server);
  return open == open_.end() ? 0 : open->second;
}

void BackendConnections::NoteClosed(const BackendId& server) {
  const auto open = open_.find(server);
  if (open != open_.end() && --open->second <= 0)
    open_.erase(open);
}

}  // namespace bamboomount
