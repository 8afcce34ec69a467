#ifndef GATEWAY_MEMBERSHIP_DEPARTED_SERVERS_H_
#define GATEWAY_MEMBERSHIP_DEPARTED_SERVERS_H_

#include <cstdint>
#include <map>

#include "gateway/boot_clock.h"
#include "gateway/membership/backend_server.h"

namespace bamboomount {

// The processes of backend servers that have left the list lately. Tells rows
// that a copy of the store brings back. Not thread-safe.
class DepartedServers {
 public:
  // Longer than the store may fall back.
  static constexpr Millis kRetention{60'000};

  void Record(const BackendServer& server, Instant now);
  // Called when the server is listed again.
  void Forget(const BackendId& server) { departures_.erase(server); }
  // Whether the process that the row describes has left, or was replaced by one
  // that has left.
  bool Includes(const BackendServer& row) const;
  // Whether the process was not draining when it left, so that only its row may
  // have lapsed.
  bool MayHaveLapsed(const BackendServer& row) const;
  void Expire(Instant now);

 private:
  struct Departure {
    std::int64_t started_at_ms = 0;
    bool draining = false;
    Instant at;
  };

  std::map<BackendId, Departure> departures_;
};

}  // namespace bamboomount

#endif  // GATEWAY_MEMBERSHIP_DEPARTED_SERVERS_H_
