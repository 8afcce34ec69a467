#ifndef STATE_CONTROL_STATE_H_
#define STATE_CONTROL_STATE_H_

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

#include "base/base.h"
#include "config/config.h"
#include "state/change.h"

namespace bamboomount {

struct KeyEntry {
  KeyId key;
  CustomerId customer;
  bool withdrawn = false;
};

// Everything that operators have set, as of one position in the change log.
// Immutable once published.
struct ControlState {
  ChangeSequence sequence;
  ConfigVersion config_version;
  // Who applied the configuration in force, and when (Unix seconds).
  std::string config_author;
  std::int64_t config_unix_seconds = 0;
  std::string config_text;
  std::shared_ptr<const ServiceConfig> config =
      std::make_shared<const ServiceConfig>();
  std::unordered_map<KeyDigest, KeyEntry> keys;
  std::set<InstanceId> drained;
};

// `state` after `change`. Fails with kConflict unless the change has the next
// sequence and, for a configuration, the next version; with kInvalidConfig if
// its configuration cannot be read. A key that was withdrawn stays withdrawn:
// granting its id or digest again changes nothing.
Result<ControlState> ApplyChange(const ControlState& state,
                                 const Change& change);

// The entry of the key `key`, or nullptr.
const KeyEntry* FindKey(const ControlState& state, const KeyId& key);

// JSON text of a whole state, as kept in the object store and sent to a peer
// that starts while the store is down.
std::string EncodeControlState(const ControlState& state);
// Fails with kBadRequest if `text` is not a state, and with kInvalidConfig if
// its configuration cannot be read.
Result<ControlState> DecodeControlState(const std::string& text);

}  // namespace bamboomount

#endif  // STATE_CONTROL_STATE_H_
