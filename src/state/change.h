#ifndef STATE_CHANGE_H_
#define STATE_CHANGE_H_

#include <cstdint>
#include <string>
#include <variant>

#include "base/base.h"

namespace bamboomount {

struct ConfigApplied {
  ConfigVersion version;
  // The version that the text was edited from.
  ConfigVersion base;
  // The whole text of service.jsonc.
  std::string text;
};

struct KeyGranted {
  KeyId key;
  KeyDigest digest;
  CustomerId customer;
};

struct KeyWithdrawn {
  KeyId key;
};

struct InstanceDrained {
  InstanceId instance;
};

// In place of the changes up to a sequence, for a peer that lacks more changes
// than are kept. Never appended to the log.
struct StateSnapshot {
  // As EncodeControlState writes it.
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
  // Random; tells an author's own append from another one with equal content
  // when the outcome of a commit is unknown.
  std::string nonce = {};
};

// JSON text of a change, as stored in the table and sent between peers.
std::string EncodeChange(const Change& change);
// Fails with kBadRequest if `text` is not a change.
Result<Change> DecodeChange(const std::string& text);

}  // namespace bamboomount

#endif  // STATE_CHANGE_H_
