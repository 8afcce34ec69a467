#ifndef GATEWAY_MEMBERSHIP_BACKEND_REGISTRY_H_
#define GATEWAY_MEMBERSHIP_BACKEND_REGISTRY_H_

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "gateway/boot_clock.h"
#include "gateway/membership/backend_server.h"

namespace bamboomount {

// The backend servers that may get new work, as the store lists them.
//
// A row that disappears means that the server has left, except around an outage
// of the store: servers that could not renew their rows lapse, and live ones
// are listed again within kRestoreWindow of the store's return. Until then a
// lapsed server stays usable.
class BackendRegistry {
 public:
  // Live servers are listed again within about 2 s of the store's return.
  static constexpr Millis kRestoreWindow{2200};

  // `server` is listed now.
  void Update(BackendServer server, Instant now);
  // The row of `id` is gone.
  void Remove(const BackendId& id, Instant now);
  // The store lists exactly `servers`.
  void Replace(const std::vector<BackendServer>& servers, Instant now);
  // The row of `id` cannot be read; it names no server to use.
  void RemoveUnreadable(const BackendId& id);
  // The store answered again at `recovered_at`, after an outage.
  void OnStoreRecovered(Instant recovered_at) {
    restore_until_ = recovered_at + kRestoreWindow;
  }
  // Ends the use of lapsed servers that were not listed again in time.
  void Expire(Instant now);

  // Servers that may get new work.
  std::vector<const BackendServer*> Usable(const PoolId& pool) const;
  // Null if the server is not known or may get no new work.
  const BackendServer* FindUsable(const BackendId& id) const;
  // Null if the server is not known.
  const BackendServer* Find(const BackendId& id) const;
  // Servers of the pool that are listed, also leaving ones.
  std::vector<const BackendServer*> Listed(const PoolId& pool) const;
  bool empty() const { return servers_.empty(); }
  // Grows with each change of the usable servers.
  std::uint64_t revision() const { return revision_; }

 private:
  struct Entry {
    BackendServer server;
    // The row has lapsed; the server stays usable until then.
    std::optional<Instant> usable_until;
  };

  bool InRestoreWindow(Instant now) const;

  std::map<BackendId, Entry> servers_;
  std::optional<Instant> restore_until_;
  std::uint64_t revision_ = 0;
};

}  // namespace bamboomount

#endif  // GATEWAY_MEMBERSHIP_BACKEND_REGISTRY_H_
