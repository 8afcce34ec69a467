#ifndef GATEWAY_MEMBERSHIP_MEMBER_H_
#define GATEWAY_MEMBERSHIP_MEMBER_H_

#include <string>

#include "base/base.h"

namespace bamboomount {

// Identifies one start of a process on an instance.
using Incarnation = StrongId<struct IncarnationTag>;

// How an instance describes itself to the others, in its row in the store. The
// row is written at the start, when the instance leaves, and after it was lost.
struct Member {
  InstanceId instance;
  Incarnation incarnation;
  // Where callers connect, "ip:port".
  std::string caller_address;
  // Where other instances send news and ask for rows; empty if they do not.
  std::string peer_address;
  ZoneId zone;
  RegionId region;
  // Part of a core that the instance may use; the stronger ones watch the store
  // for the others.
  double capacity = 1;
  // Takes no new callers.
  bool leaving = false;

  friend bool operator==(const Member&, const Member&) = default;
};

// Text form of a member for its row. Decoding fails with kInternal.
std::string EncodeMember(const Member& member);
Result<Member> DecodeMember(const std::string& text);

}  // namespace bamboomount

#endif  // GATEWAY_MEMBERSHIP_MEMBER_H_
