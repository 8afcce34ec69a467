#ifndef GATEWAY_CONNECTION_RELIEF_H_
#define GATEWAY_CONNECTION_RELIEF_H_

#include <cstddef>
#include <vector>

#include "gateway/boot_clock.h"

namespace bamboomount {

// What a caller's connection does, in the order in which connections are closed
// when memory or descriptors run out.
enum class ConnectionActivity {
  kIdle,
  // The caller sends a request or reads a response.
  kTransferring,
  // The caller waits for a backend server.
  kWaitingForServer,
};

struct ConnectionLoad {
  ConnectionActivity activity = ConnectionActivity::kIdle;
  // When the caller last made progress.
  Instant last_progress;
  std::size_t bytes = 0;
};

// Selects the connections to close so that at least `bytes` are released, or
// all: idle ones first, then those whose caller made no progress for the
// longest time. Returns their indexes.
std::vector<std::size_t> SelectConnectionsToClose(
    const std::vector<ConnectionLoad>& connections,
    std::size_t bytes);

}  // namespace bamboomount

#endif  // GATEWAY_CONNECTION_RELIEF_H_
