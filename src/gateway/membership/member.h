#ifndef GATEWAY_MEMBERSHIP_MEMBER_H_
#define GATEWAY_MEMBERSHIP_MEMBER_H_

#include <string>

#include "base/base.h"

namespace bamboomount {

// Identifies one run of a process on an instance.
using Incarnation = StrongId<struct IncarnationTag>;

// An instance's own row in the store, read by the other instances. It is
// written when the instance starts, when it begins to leave, and again if the
// row was lost.
struct Member {
  InstanceId instance;
  Incarnation incarnation;
  // Address for callers, "ip:port".
  std::string caller_address;
  // Address for gossip and row requests of other instances, "ip:port"; empty if
  // the instance takes part in neither.
  std::string peer_address;
  ZoneId zone;
  RegionId region;
  // CPU capacity in cores, which may be a fraction. Instances with more
  // capacity watch the store on behalf of the others.
  double capacity = 1;
  // The instance accepts no new callers and will stop.
  bool leaving = false;

  friend bool operator==(const Member&, const Member&) = default;
};

// JSON form of a member for its row. Decoding fails with ErrorCode::kInternal.
std::string EncodeMember(const Member& member);
Result<Member> DecodeMember(const std::string& text);

}  // namespace bamboomount

#endif  // GATEWAY_MEMBERSHIP_MEMBER_H_
