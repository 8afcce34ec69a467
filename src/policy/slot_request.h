#ifndef POLICY_SLOT_REQUEST_H_
#define POLICY_SLOT_REQUEST_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "base/base.h"

namespace bamboomount {

// A request that waits for a slot on a backend server of a cell.
struct SlotRequest {
  RequestId request;
  ClassId class_id;
  Tier tier;
  CustomerId customer;
  // Weight of the customer inside its class.
  double share = 1;
  // Requests of the class that may wait in the cell. Room that lower tiers do
  // not use is added; 0 sets no limit.
  int queue_limit = 0;
  // 0 sets no target.
  Millis first_token_target{0};
  Tokens prompt_tokens;
  // The caller's max_tokens, if it set one.
  std::optional<Tokens> max_output_tokens;
  // Hash of the prompt's first tokens; 0 if there is none.
  std::uint64_t prefix_hash = 0;
  ZoneId entry_zone;
  // Backend servers that failed this request before.
  std::vector<BackendId> excluded;
};

enum class SlotEnd {
  kCompleted,
  // Cancelled by the caller or by a withdrawn key.
  kCancelled,
  // The backend server could not be connected.
  kConnectFailed,
  // The backend server failed after the connection was made.
  kBackendFailed,
};

// What the entry router observed of a granted request.
struct SlotOutcome {
  SlotEnd end = SlotEnd::kCompleted;
  Tokens output_tokens;
  // From the grant to the first token; empty if there was none.
  std::optional<Millis> time_to_first_token;
  // From the first to the last token.
  Millis generation_time{0};
};

}  // namespace bamboomount

#endif  // POLICY_SLOT_REQUEST_H_
