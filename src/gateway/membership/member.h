#ifndef GATEWAY_MEMBERSHIP_MEMBER_H_
#define GATEWAY_MEMBERSHIP_MEMBER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/base.h"

namespace bamboomount {

// Identifies one start of a process on an instance.
using Incarnation = StrongId<struct IncarnationTag>;
// Number of a usage window: windows follow each other from the start of 1970.
using WindowNumber = StrongCount<struct WindowNumberTag>;
// Requests that began to run, by customer.
using UsageCounts = std::map<CustomerId, std::int64_t>;

// What an instance tells the others, written to the store with each heartbeat.
struct Member {
  InstanceId instance;
  Incarnation incarnation;
  // Where callers connect, "ip:port".
  std::string caller_address;
  // Where other instances send news of loads; empty if there is none.
  std::string peer_address;
  ZoneId zone;
  RegionId region;
  // Part of a core that the instance may use; callers are spread by it.
  double capacity = 1;
  // Takes no new callers.
  bool leaving = false;
  // The store's steady clock at the time of writing, as this instance knows it.
  Millis store_time{0};
  // The time of day less the store's steady clock.
  Millis wall_offset{0};
  std::map<WindowNumber, UsageCounts> usage;
};

// Text form of a member for its row. Decoding fails with kInternal.
std::string EncodeMember(const Member& member);
Result<Member> DecodeMember(const std::string& text);

}  // namespace bamboomount

#endif  // GATEWAY_MEMBERSHIP_MEMBER_H_
