#ifndef GATEWAY_PLACEMENT_COLD_SERVER_PACER_H_
#define GATEWAY_PLACEMENT_COLD_SERVER_PACER_H_

#include <deque>
#include <map>
#include <vector>

#include "gateway/boot_clock.h"
#include "gateway/membership/backend_server.h"
#include "gateway/membership/member_registry.h"
#include "gateway/traffic/pool.h"

namespace bamboomount {

// A backend server that an instance could not reach lately, and how long ago.
struct UnreachableServer {
  BackendId id;
  Millis age{0};
};

// Limits the requests that all instances together send to cold backend servers:
// servers that have just started or returned, are slow for some seconds, and
// crash if they get many requests at once. Not thread-safe.
//
// Each cold server has a few owners among the instances, by rendezvous hashing
// over the instances that have a row in the store. Only owners send to it, each
// at an equal part of the rate that the server tolerates. Whether an instance
// is reachable does not matter, so that a partition does not add owners.
class ColdServerPacer {
 public:
  // The most owners of a server. Several, so that the server is not idle if
  // some have failed; few enough that the rate is kept, with the slack that the
  // operator allows, if instances disagree on the owners for a moment.
  static constexpr int kMaxOwners = 6;
  // The time in which an owner's requests are counted: the second for which the
  // rate holds, and a margin for delays on the way to the server.
  static constexpr Millis kWindow{1100};
  // A server that was unreachable may return this long after the last failed
  // attempt, and is cold from then on. No shorter than the longest ejection of
  // a server, in which there are no attempts.
  static constexpr Millis kMaxAbsence{8000};

  // `self`: this instance. `members` must outlive the pacer.
  ColdServerPacer(const InstanceId& self, const MemberRegistry& members)
      : self_(self), members_(members) {}

  // Records that the server's row was read. Its `cold_remaining` counts from
  // now.
  void RecordListed(const BackendServer& server, Instant now);
  // Records that the server has just written its row, which therefore says
  // whether it is cold: earlier failures to reach it no longer count.
  void RecordAlive(const BackendId& server, Instant now);
  // Records that another process started under the server's id. The row may say
  // late that it is cold.
  void RecordRestart(const BackendId& server, Instant now);
  // Records that this instance could not connect to the server, or that the
  // connection broke before an answer began.
  void RecordUnreachable(const BackendId& server, Instant now);
  // Forgets all unreachable servers, because this instance's network path was
  // at fault. Those that other instances report are learned again.
  void ForgetUnreachable() { unreachable_at_.clear(); }
  // Records the servers that another instance could not reach.
  void MergeUnreachable(const std::vector<UnreachableServer>& servers,
                        Instant now);
  // The servers that were unreachable within kMaxAbsence.
  std::vector<UnreachableServer> Unreachable(Instant now) const;
  // Records that the servers of the zone may be used again after an evacuation.
  void RecordEvacuationEnd(const ZoneId& zone, Instant now);

  // Always false if the pool sets no rate for cold servers.
  bool IsCold(const BackendServer& server, const Pool& pool, Instant now) const;
  // Whether this instance may send a request to the server now.
  bool MaySend(const BackendServer& server, const Pool& pool, Instant now);
  // Records that a request is sent to the server, cold or not.
  void RecordSent(const BackendId& server, Instant now);
  // Removes records that no longer matter.
  void Expire(Instant now);

 private:
  struct Ownership {
    bool owned = false;
    Instant determined_at;
    // An instance that becomes an owner later waits until then, so that the
    // requests of the owner before it no longer count.
    Instant usable_from;
  };

  static int OwnerCount(const Pool& pool, std::size_t instances);
  bool IsOwner(const BackendServer& server, const Pool& pool, Instant now);
  bool DetermineOwner(const BackendId& server, const Pool& pool) const;

  const InstanceId self_;
  const MemberRegistry& members_;
  std::map<BackendId, Instant> cold_until_;
  std::map<BackendId, Instant> alive_at_;
  std::map<BackendId, Instant> restarted_at_;
  std::map<BackendId, Instant> unreachable_at_;
  std::map<ZoneId, Instant> evacuation_ended_at_;
  std::map<BackendId, Ownership> ownership_;
  // When this instance sent its last requests to each server.
  std::map<BackendId, std::deque<Instant>> sent_;
};

}  // namespace bamboomount

#endif  // GATEWAY_PLACEMENT_COLD_SERVER_PACER_H_
