#ifndef GATEWAY_MEMBERSHIP_BACKEND_SERVER_H_
#define GATEWAY_MEMBERSHIP_BACKEND_SERVER_H_

#include <cstdint>
#include <optional>
#include <string>

#include "gateway/boot_clock.h"

namespace bamboomount {

// What a backend server says of itself in the store.
struct BackendServer {
  BackendId id;
  PoolId pool;
  // "ip:port".
  std::string address;
  ZoneId zone;
  // Requests that it serves at the same time.
  int slots = 1;
  // It takes no new requests and ends soon.
  bool draining = false;
  // The zone may take it away on short notice.
  bool reclaimable = false;
  // Start of the process in Unix milliseconds, if it tells; a process that
  // starts again under the same id is another server.
  std::int64_t started_at_ms = 0;
  // Since when the registry has listed this process. The start of the clock for
  // servers that were there before this instance.
  Instant listed_since;
};

}  // namespace bamboomount

#endif  // GATEWAY_MEMBERSHIP_BACKEND_SERVER_H_
