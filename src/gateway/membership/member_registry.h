#ifndef GATEWAY_MEMBERSHIP_MEMBER_REGISTRY_H_
#define GATEWAY_MEMBERSHIP_MEMBER_REGISTRY_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gateway/boot_clock.h"
#include "gateway/membership/member.h"

namespace bamboomount {

// The instances of the fleet as their rows in the store show them.
//
// A row's age is judged by the store's own clock at an answer of the store, so
// that an outage of the store ages nobody.
class MemberRegistry {
 public:
  // A row that is older than this belongs to an instance that failed. Grows
  // with the fleet, as the interval between two writes does.
  static constexpr Millis kMinExpiry{6000};
  static constexpr Millis kExpiryPerMember{100};
  static constexpr Millis kMaxExpiry{12000};
  // An instance that tells others its news and falls silent for this time has
  // failed, unless most others are silent too. Grows with the fleet, since each
  // round of news goes to a few instances only.
  static constexpr Millis kSilence{2000};
  static constexpr Millis kSilencePerMember{40};
  // Rows of ended incarnations are kept for the usage figures in them.
  static constexpr Millis kRowLifetime{60000};

  // An instance that tells news is expected to do so from `now` on.
  void Update(const std::string& row_key, Member member, Instant now);
  void Remove(const std::string& row_key);
  // Drops rows that are not in `row_keys`.
  void Keep(const std::vector<std::string>& row_keys);
  // News of the instance arrived.
  void NoteHeard(const InstanceId& instance, Instant now) {
    heard_[instance] = now;
  }
  // Whether news of the instance arrived a short time ago.
  bool WasHeard(const InstanceId& instance, Instant now) const {
    return heard_.contains(instance) && !IsSilent(instance, now);
  }
  // Whether the instance was heard before and is silent now.
  bool IsSilent(const InstanceId& instance, Instant now) const;
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
                                        std::size_t limit,
                                        Instant now) const;
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
  Millis Expiry() const;

  // Whether so many instances are silent that the fault is likely here.
  bool HearsFew(Instant now) const;

  std::map<std::string, Member> rows_;
  std::map<InstanceId, Instant> heard_;
  Millis store_time_{0};
};

}  // namespace bamboomount

#endif  // GATEWAY_MEMBERSHIP_MEMBER_REGISTRY_H_
