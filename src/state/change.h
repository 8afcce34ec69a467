#ifndef STATE_CHANGE_H_
#define STATE_CHANGE_H_

#include <cstdint>
#include <string>
#include <variant>

#include "base/base.h"

namespace bamboomount {

// Replaces the service configuration.
struct ConfigApplied {
  ConfigVersion version;
  // Version that the operator edited to produce `text`.
  ConfigVersion base;
  // Full text of service.jsonc.
  std::string text;
};

// Gives a customer a new key.
struct KeyGranted {
  KeyId key;
  KeyDigest digest;
  CustomerId customer;
};

// Withdraws a key for good.
struct KeyWithdrawn {
  KeyId key;
};

// Takes an instance out of service.
struct InstanceDrained {
  InstanceId instance;
};

// Full control state at the sequence of the change. Sent to a peer that needs
// older changes than the sender retains; never appended to the log.
struct StateSnapshot {
  // Output of EncodeControlState.
  std::string encoded;
};

using ChangeBody = std::variant<ConfigApplied,
                                KeyGranted,
                                KeyWithdrawn,
                                InstanceDrained,
                                StateSnapshot>;

// One entry of the change log.
struct Change {
  ChangeSequence sequence;
  // Operator who made the change.
  std::string author;
  // Seconds since the Unix epoch.
  std::int64_t unix_seconds = 0;
  ChangeBody body;
  // Random value that identifies this append. When the outcome of a commit is
  // unknown, it distinguishes the change from another one with equal content.
  std::string nonce = {};
};

// Returns the JSON text that is stored in the table and sent between peers.
// Bytes that are not UTF-8 are replaced.
std::string EncodeChange(const Change& change);
// Parses the output of EncodeChange. Fails with kBadRequest if `text` is not a
// valid change.
Result<Change> DecodeChange(const std::string& text);

}  // namespace bamboomount

#endif  // STATE_CHANGE_H_
