#ifndef GATEWAY_MEMBERSHIP_BACKEND_REGISTRY_H_
#define GATEWAY_MEMBERSHIP_BACKEND_REGISTRY_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "gateway/boot_clock.h"
#include "gateway/membership/backend_server.h"
#include "gateway/membership/departed_servers.h"

namespace bamboomount {

// The backend servers listed in the store. Not thread-safe.
//
// A removed row means that the server has left, except after an outage of the
// store: rows that could not be renewed expire, and live servers register again
// within kRestoreWindow of the store's recovery. Until then a server whose row
// has lapsed stays usable.
//
// A store that comes back from an older copy lists servers that have left
// since, and lists leaving ones as ready, until they write their rows again or
// the store finds them silent. Until then what was known of a process holds.
//
// A server may announce in its replies that it leaves, before or without doing
// so in the store. It then counts as draining until its process is replaced.
class BackendRegistry {
 public:
  // Live servers are listed again within about 2 s of the store's recovery.
  static constexpr Millis kRestoreWindow{2200};

  // A row that a copy of the store brought back and that is still listed after
  // this time is renewed by a live process: the store removes the row of a
  // server that has been silent for three of its status reports.
  static constexpr Millis kCopiedRowLifetime{5000};

  // How long an announcement is remembered after the server was last listed.
  static constexpr Millis kAnnouncementLifetime{600'000};

  // Adds or replaces a server that is listed now. Sets `listed_since`, which is
  // kept as long as the server's process is the same.
  void Update(BackendServer server, Instant now);
  // Handles the removal of the server's row. Within the restore window, a
  // server that is not draining stays usable until the window ends.
  void Remove(const BackendId& id, Instant now);
  // Applies a full read of the table: updates `servers` and removes all others.
  void Replace(const std::vector<BackendServer>& servers, Instant now);
  // Removes the server whose row cannot be decoded, also within the restore
  // window: the row names no server to use.
  void RemoveUnreadable(const BackendId& id);
  // Handles the announcement of the process that `server` describes that it is
  // leaving. Returns false if that was known.
  bool MarkLeaving(const BackendServer& server, Instant now);
  // Starts the restore window; `recovered_at` is when the store answered again
  // after an outage.
  void OnStoreRecovered(Instant recovered_at) {
    restore_until_ = recovered_at + kRestoreWindow;
  }
  // The store came back from an older copy. Starts the restore window, and the
  // time in which a full read may hold older rows than those known. Called
  // before the rows of that copy are applied.
  void OnStoreRestored(Instant now);
  // Whether rows that a restore of the store has lost may not be written again
  // yet, so that a listed server may have become another process.
  bool MayLackRows(Instant now) const {
    return restored_at_ && now < *restored_at_ + kRestoreWindow;
  }
  // Whether the row, of a full read, is older than what is known of the server.
  bool IsOutdated(const BackendServer& row, Instant now) const;
  // Removes lapsed servers that were not listed again within the restore
  // window.
  void Expire(Instant now);

  // Sets the availability zones whose servers must get no requests.
  void SetEvacuatedZones(std::set<ZoneId> zones);
  const std::set<ZoneId>& evacuated_zones() const { return evacuated_zones_; }

  // Servers of the pool that may get new requests.
  std::vector<const BackendServer*> Usable(const PoolId& pool) const;
  // Servers of all pools that may get new requests.
  std::vector<const BackendServer*> AllUsable() const;
  // Returns null if the server is unknown, draining or in an evacuated zone.
  const BackendServer* FindUsable(const BackendId& id) const;
  // Returns null if the server is unknown.
  const BackendServer* Find(const BackendId& id) const;
  // All known servers of the pool, including draining ones.
  std::vector<const BackendServer*> Listed(const PoolId& pool) const;
  // Whether a server of the pool with this software version is known, also a
  // draining one.
  bool Lists(const PoolId& pool, const SoftwareVersion& version) const;
  // The software versions of all known servers, including draining ones.
  std::map<PoolId, std::set<SoftwareVersion>> ListedVersions() const;
  bool empty() const { return servers_.empty(); }
  // Increases with each change of the servers that may be used.
  std::uint64_t revision() const { return revision_; }

 private:
  struct Entry {
    BackendServer server;
    // Set if the row has lapsed; the server stays usable until then.
    std::optional<Instant> usable_until;
  };

  // A process that announced that it leaves.
  struct Announcement {
    std::int64_t started_at_ms = 0;
    Instant last_listed;
  };

  bool IsUsable(const BackendServer& server) const {
    return !server.draining && !evacuated_zones_.contains(server.zone);
  }
  // A row of a copy that is not used, unless it is still listed at the end.
  struct WithheldRow {
    BackendServer server;
    Instant end;
  };

  void EraseDeparted(std::map<BackendId, Entry>::iterator entry, Instant now);
  void ReleaseWithheldRows(Instant now);
  bool HasAnnounced(const BackendServer& server, Instant now);
  bool InRestoreWindow(Instant now) const;

  std::map<BackendId, Entry> servers_;
  std::map<BackendId, Announcement> announcements_;
  DepartedServers departed_;
  std::map<BackendId, WithheldRow> withheld_;
  std::set<ZoneId> evacuated_zones_;
  std::optional<Instant> restore_until_;
  // When the last restore was noticed. Full reads may hold rows of the copy for
  // kCopiedRowLifetime.
  std::optional<Instant> restored_at_;
  std::uint64_t revision_ = 0;
};

}  // namespace bamboomount

#endif  // GATEWAY_MEMBERSHIP_BACKEND_REGISTRY_H_
