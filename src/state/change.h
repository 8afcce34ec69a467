#ifndef STATE_CHANGE_H_
#define STATE_CHANGE_H_

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

// One entry of the change log.
struct Change {
  ChangeSequence sequence;
  // Operator who made the change.
  std::string author;
  // Seconds since the Unix epoch.
  std::int64_t unix_seconds = 0;
  std::variant<ConfigApplied, KeyGranted, KeyWithdrawn, InstanceDrained> body;
};

// JSON text of a change, as stored in the table and sent between peers.
std::string EncodeChange(const Change& change);
// Fails with kBadRequest if `text` is not a change.
Result<Change> DecodeChange(const std::string& text);

}  // namespace bamboomount

#endif  // STATE_CHANGE_H_
