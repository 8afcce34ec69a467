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

// A granted key, which may have been withdrawn since.
struct KeyEntry {
  KeyId key;
  CustomerId customer;
  bool withdrawn = false;
};

// All settings made by operators, as of one position in the change log.
// Immutable once published.
struct ControlState {
  ChangeSequence sequence;
  ConfigVersion config_version;
  // Operator who applied the configuration in force, and when, in seconds since
  // the Unix epoch.
  std::string config_author;
  std::int64_t config_unix_seconds = 0;
  std::string config_text;
  std::shared_ptr<const ServiceConfig> config =
      std::make_shared<const ServiceConfig>();
  std::unordered_map<KeyDigest, KeyEntry> keys;
  std::set<InstanceId> drained;
};

// Returns `state` with `change` applied. Fails with kConflict unless the change
// has the next sequence and, for a configuration, the next version; with
// kInvalidConfig if its configuration is invalid. A withdrawn key stays
// withdrawn: granting its id or digest again has no effect.
Result<ControlState> ApplyChange(const ControlState& state,
                                 const Change& change);

// Returns the entry of `key`, or nullptr. Linear in the number of keys.
const KeyEntry* FindKey(const ControlState& state, const KeyId& key);

// Returns the JSON text of a state, as kept in the object store and sent to a
// peer that starts while the store is down.
std::string EncodeControlState(const ControlState& state);
// Parses the output of EncodeControlState. Fails with kBadRequest if `text` is
// not a valid state, and with kInvalidConfig if its configuration is invalid.
Result<ControlState> DecodeControlState(const std::string& text);

}  // namespace bamboomount

#endif  // STATE_CONTROL_STATE_H_
