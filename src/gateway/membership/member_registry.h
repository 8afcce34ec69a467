#ifndef GATEWAY_MEMBERSHIP_MEMBER_REGISTRY_H_
#define GATEWAY_MEMBERSHIP_MEMBER_REGISTRY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "gateway/boot_clock.h"
#include "gateway/membership/member.h"
#include "gateway/traffic/region_limit.h"

namespace bamboomount {

// Status that an instance reports with each gossip message.
struct MemberStatus {
  // The instance's wall clock minus the store's steady clock.
  std::optional<Millis> wall_offset;
  // Whether the last calls of the instance to the store were answered.
  bool store_reachable = true;
  // Whether the instance reaches backend servers.
  bool reaches_servers = true;
};

// A heartbeat of another instance that the sender of a gossip message received
// a short time ago.
struct RelayedHeartbeat {
  // See MemberRegistry::HashOf(). Short, because messages carry several.
  std::uint32_t instance_hash = 0;
  // Time since the heartbeat arrived.
  Millis age{0};
};

// The instances of the fleet. Their rows in the store define the membership;
// their gossip messages serve as heartbeats. In a large fleet most heartbeats
// arrive through others, because a round of gossip reaches only a few
// instances. Not thread-safe.
class MemberRegistry {
 public:
  // An instance without a heartbeat for longer than this has failed, unless
  // most others are silent too. The timeout grows by kHeartbeatTimeoutPerMember
  // for each instance, because each round of gossip, with the relayed
  // heartbeats, reaches a constant number of instances.
  static constexpr Millis kHeartbeatTimeout{2000};
  static constexpr Millis kHeartbeatTimeoutPerMember{4};
  // Heartbeats are relayed once, within this time of their arrival, and at most
  // kMaxRelayed of them in one message.
  static constexpr Millis kRelayPeriod{200};
  static constexpr std::size_t kMaxRelayed = 16;
  // The row of an instance that is silent for this multiple of the timeout is
  // to be removed from the store.
  static constexpr int kRowRemovalFactor = 3;
  // Time in which instances write their rows again after a restore of the
  // store.
  static constexpr Millis kRestoreWindow{5000};

  // A row of the store at a version, so that a newer one is not removed.
  struct Row {
    InstanceId instance;
    RowVersion version;
  };

  // Adds or replaces an instance. A new incarnation that takes part in gossip
  // must send its first heartbeat within the timeout after `now`.
  void Update(const Member& member, RowVersion version, Instant now);
  void Remove(const InstanceId& instance);
  // Removes instances that are not in `listed`, except for those whose rows a
  // restore of the store may have lost: they remain, as not listed, until the
  // end of the restore window.
  void RetainOnly(const std::vector<InstanceId>& listed, Instant now);
  // The store came back from an older copy. Called before the rows of that copy
  // are applied. Instances that the copy brings back count as silent until they
  // are heard.
  void OnStoreRestored(Instant now);
  // Removes instances whose rows were not written again within the restore
  // window.
  void Expire(Instant now);
  // Whether the store has the row of the instance as this registry describes
  // it.
  bool IsListed(const InstanceId& instance) const;
  // Handles a gossip message of the instance. Ignored if the instance has no
  // row.
  void RecordHeartbeat(const InstanceId& instance,
                       const MemberStatus& status,
                       Instant now);
  // Identifies an instance in relayed heartbeats.
  static std::uint32_t HashOf(const InstanceId& instance);
  // The latest heartbeats that arrived within kRelayPeriod.
  std::vector<RelayedHeartbeat> HeartbeatsToRelay(Instant now) const;
  // Handles a heartbeat that another instance relayed. Ignored if no known
  // instance has the hash, or if a later heartbeat is known.
  void RecordRelayedHeartbeat(const RelayedHeartbeat& heartbeat, Instant now);
  // Number of instances with a heartbeat within `period`, this one included.
  std::size_t CountHeard(Millis period, Instant now) const;
  // Whether the instance's heartbeat has timed out; false for instances that
  // are unknown or do not take part in gossip.
  bool IsSilent(const InstanceId& instance, Instant now) const;

  std::vector<const Member*> All() const;
  // Returns null if the store has no row of the instance.
  const Member* Find(const InstanceId& instance) const;
  // Returns at most `limit` caller addresses of instances in the zone; if there
  // are fewer than two, of those in the region, and then of the whole fleet.
  // Leaving instances are left out, and so are silent ones unless this instance
  // is likely isolated, and those that reach no backend servers unless none
  // does. Of other regions, only those in `regions` are returned.
  std::vector<std::string> AddressesFor(const ZoneId& zone,
                                        const RegionId& region,
                                        const RegionLimit& regions,
                                        std::size_t limit,
                                        Instant now) const;
  // The instances that other instances may send requests to: they take part in
  // gossip, were heard from a short time ago, are not leaving and reach backend
  // servers.
  std::vector<const Member*> WithServers(Instant now) const;
  // Number of instances with a row, at least 1.
  int Count() const;
  // The instance's rank, from 0, as a candidate for tasks that few instances do
  // for the whole fleet. Instances that reach the store, are not silent and are
  // not leaving rank first; among them, those with more capacity. Returns the
  // number of instances if the instance has no row.
  std::size_t CandidateRank(const InstanceId& instance, Instant now) const;
  // The first `count` instances by that rank.
  std::vector<const Member*> FirstCandidates(std::size_t count,
                                             Instant now) const;
  // Median of the `wall_offset` values of the instances that are not silent and
  // of this instance's `local_offset`, so that a single wrong clock has no
  // effect.
  Millis MedianWallOffset(Millis local_offset, Instant now) const;
  // Rows of instances that have been silent for kRowRemovalFactor times the
  // timeout; empty if this instance is likely isolated.
  std::vector<Row> RowsOfFailedMembers(Instant now) const;

 private:
  struct Entry {
    Member member;
    RowVersion version;
    // The store has this row; false if a restore of the store has lost it.
    bool listed = true;
    // That row is from before the process began to leave.
    bool row_is_outdated = false;
    // Decides the rank among instances of equal capacity.
    std::uint64_t rank_hash = 0;
    // Empty if the instance does not take part in gossip.
    std::optional<Instant> last_heartbeat;
    // The last heartbeat that arrived from the instance itself.
    std::optional<Instant> last_direct_heartbeat;
    MemberStatus status;
  };

  // Instances with smaller keys rank first: whether the instance is ineligible,
  // its negated capacity, and its hash.
  using RankKey = std::tuple<bool, double, std::uint64_t>;

  void EraseUnlisted();
  RankKey RankKeyOf(const Entry& entry, Instant now) const;
  Millis HeartbeatTimeout() const;
  bool IsSilent(const Entry& entry, Instant now) const;
  // Whether more than half of the instances that take part in gossip are
  // silent, so that the fault is more likely at this instance.
  bool IsLikelyIsolated(Instant now) const;

  bool InRestoreWindow(Instant now) const {
    return restore_until_ && now < *restore_until_;
  }

  std::map<InstanceId, Entry> entries_;
  std::optional<Instant> restore_until_;
  std::unordered_map<std::uint32_t, InstanceId> instance_by_hash_;
};

}  // namespace bamboomount

#endif  // GATEWAY_MEMBERSHIP_MEMBER_REGISTRY_H_
