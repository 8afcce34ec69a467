#ifndef GATEWAY_MEMBERSHIP_BACKEND_SERVER_H_
#define GATEWAY_MEMBERSHIP_BACKEND_SERVER_H_

#include <cstdint>
#include <optional>
#include <string>

#include "gateway/boot_clock.h"

namespace bamboomount {

// A backend server as it registers itself in the store.
struct BackendServer {
  BackendId id;
  PoolId pool;
  // "ip:port".
  std::string address;
  ZoneId zone;
  // Of its software. What servers of two versions write does not fit together.
  SoftwareVersion version;
  // Requests that the server processes concurrently.
  int slots = 1;
  // The server accepts no new requests and will stop.
  bool draining = false;
  // The server runs on capacity that its zone may take away on short notice.
  bool reclaimable = false;
  // Start of the process in Unix milliseconds; 0 if the server does not report
  // it. A process that starts again under the same id is treated as another
  // server.
  std::int64_t started_at_ms = 0;
  // For how much longer the server is cold, as its row says: slow after a
  // start, and not able to take many requests at once.
  Millis cold_remaining{0};
  // When the registry first listed this process; the clock's epoch for servers
  // that were listed before this instance started.
  Instant listed_since;
};

// Whether the start times are those of one process. A row without a start time
// says nothing about it, so it does not stand for a restart.
inline bool IsSameProcess(std::int64_t started_at_ms,
                          std::int64_t other_started_at_ms) {
  return started_at_ms == 0 || other_started_at_ms == 0 ||
         started_at_ms == other_started_at_ms;
}

}  // namespace bamboomount

#endif  // GATEWAY_MEMBERSHIP_BACKEND_SERVER_H_
