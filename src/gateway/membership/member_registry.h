#ifndef GATEWAY_MEMBERSHIP_MEMBER_REGISTRY_H_
#define GATEWAY_MEMBERSHIP_MEMBER_REGISTRY_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gateway/membership/member.h"

namespace bamboomount {

// The instances of the fleet as their rows in the store show them.
//
// A row's age is judged by the store's own clock at an answer of the store, so
// that an outage of the store ages nobody.
class MemberRegistry {
 public:
  // A row that is older than this belongs to an instance that failed.
  static constexpr Millis kExpiry{6000};
  // Rows of ended incarnations are kept for the usage figures in them.
  static constexpr Millis kRowLifetime{60000};

  void Update(const std::string& row_key, Member member);
  void Remove(const std::string& row_key);
  // Drops rows that are not in `row_keys`.
  void Keep(const std::vector<std::string>& row_keys);
  // The store's steady clock read `now` in an answer.
  void NoteStoreTime(Millis now) { store_time_ = now; }

  // The newest incarnation of each instance that is alive.
  std::vector<const Member*> Alive() const;
  // Null if the instance is not alive.
  const Member* FindAlive(const InstanceId& instance) const;
  // Addresses for callers in `zone`: instances of the zone, or of the region
  // and then everywhere if there are too few. At most `limit`.
  std::vector<std::string> AddressesFor(const ZoneId& zone,
                                        const RegionId& region,
                                        std::size_t limit) const;
  // Alive instances, this one included: at least 1.
  int AliveCount() const;
  // Usage of `window` over all incarnations.
  UsageCounts UsageOf(WindowNumber window) const;
  // The median offset of the instances' clocks from the store's; empty if no
  // instance is known.
  std::optional<Millis> WallOffset() const;
  // Keys of rows that are no longer needed.
  std::vector<std::string> OutdatedRows() const;

 private:
  bool IsAlive(const Member& member) const;

  std::map<std::string, Member> rows_;
  Millis store_time_{0};
};

}  // namespace bamboomount

#endif  // GATEWAY_MEMBERSHIP_MEMBER_REGISTRY_H_
