#ifndef POLICY_SLOT_REQUEST_H_
#define POLICY_SLOT_REQUEST_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "base/base.h"

namespace bamboomount {

// A request for a slot on a backend server of a cell.
struct SlotRequest {
  RequestId request;
  ClassId class_id;
  Tier tier;
  CustomerId customer;
  // Weight of the customer within its class.
  double share = 1;
  // Requests of the class that may wait in the cell, not counting the unused
  // limits of lower tiers, which the class may use too. 0: no limit.
  int queue_limit = 0;
  // Target of the time from arrival to the first token. 0: no target.
  Millis first_token_target{0};
  Tokens prompt_tokens;
  // The caller's max_tokens, if set.
  std::optional<Tokens> max_output_tokens;
  // Hash of the prompt's prefix, for prefix affinity; 0 if there is none.
  std::uint64_t prefix_hash = 0;
  // Availability zone of the instance that received the request.
  ZoneId entry_zone;
  // Backend servers on which this request has already failed.
  std::vector<BackendId> excluded;
};

// How a granted request ended.
enum class SlotEnd {
  kCompleted,
  // Cancelled by the caller, or because its API key was withdrawn.
  kCancelled,
  // The connection to the backend server failed.
  kConnectFailed,
  // The backend server failed after the connection was established.
  kBackendFailed,
};

// Result of a granted request as observed by the entry router.
struct SlotOutcome {
  SlotEnd end = SlotEnd::kCompleted;
  Tokens output_tokens;
  // From the grant to the first token; empty if no token arrived.
  std::optional<Millis> time_to_first_token;
  // From the first to the last token.
  Millis generation_time{0};
};

}  // namespace bamboomount

#endif  // POLICY_SLOT_REQUEST_H_
