#ifndef GATEWAY_MEMBERSHIP_MEMBER_REGISTRY_H_
#define GATEWAY_MEMBERSHIP_MEMBER_REGISTRY_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gateway/boot_clock.h"
#include "gateway/membership/member.h"

namespace bamboomount {

// What an instance says of itself in its news.
struct MemberStatus {
  // Its time of day less the store's steady clock.
  std::optional<Millis> wall_offset;
  bool store_reachable = true;
};

// The instances of the fleet: their rows in the store say that they exist,
// their news that they are alive.
class MemberRegistry {
 public:
  // An instance that falls silent for this time has failed, unless most others
  // are silent too. Grows with the fleet, since each round of news goes to a
  // few instances only.
  static constexpr Millis kHeartbeatTimeout{2000};
  static constexpr Millis kHeartbeatTimeoutPerMember{40};
  // The row of an instance that is silent for so many times that time is
  // dropped from the store.
  static constexpr int kRowRemovalFactor = 3;

  // A row of the store.
  struct Row {
    InstanceId instance;
    RowVersion version;
  };

  // An instance with an address for news is expected to send some from `now`
  // on.
  void Update(const Member& member, RowVersion version, Instant now);
  void Remove(const InstanceId& instance);
  // Drops instances that are not in `listed`.
  void RetainOnly(const std::vector<InstanceId>& listed);
  // News of the instance arrived.
  void RecordHeartbeat(const InstanceId& instance,
                       const MemberStatus& status,
                       Instant now);
  // Whether the instance was last_heartbeat before and is silent now.
  bool IsSilent(const InstanceId& instance, Instant now) const;

  std::vector<const Member*> All() const;
  // Null if the store has no row of the instance.
  const Member* Find(const InstanceId& instance) const;
  // Addresses for callers in `zone`: instances of the zone, or of the region
  // and then everywhere if there are too few. At most `limit`.
  std::vector<std::string> AddressesFor(const ZoneId& zone,
                                        const RegionId& region,
                                        std::size_t limit,
                                        Instant now) const;
  // Instances with a row: at least 1.
  int Count() const;
  // The place of the instance in the order in which instances take over tasks
  // for the whole fleet, 0 first: those that reach the store and are not
  // silent, the strongest ones first.
  std::size_t CandidateRank(const InstanceId& instance, Instant now) const;
  // The median offset of the instances' clocks from the store's, `own` among
  // them, so that one wrong clock does not count.
  Millis MedianWallOffset(Millis local_offset, Instant now) const;
  // Rows of instances that are silent for long.
  std::vector<Row> RowsOfFailedMembers(Instant now) const;

 private:
  struct Entry {
    Member member;
    RowVersion version;
    // Empty if it sends no news.
    std::optional<Instant> last_heartbeat;
    MemberStatus status;
  };

  Millis HeartbeatTimeout() const;
  bool IsSilent(const Entry& entry, Instant now) const;
  // Whether so many instances are silent that the fault is likely here.
  bool IsLikelyIsolated(Instant now) const;

  std::map<InstanceId, Entry> entries_;
};

}  // namespace bamboomount

#endif  // GATEWAY_MEMBERSHIP_MEMBER_REGISTRY_H_
