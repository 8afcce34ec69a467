#ifndef STATE_CONTROL_STATE_H_
#define STATE_CONTROL_STATE_H_

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
  std::string config_text;
  std::shared_ptr<const ServiceConfig> config =
      std::make_shared<const ServiceConfig>();
  std::unordered_map<KeyDigest, KeyEntry> keys;
  std::set<InstanceId> drained;
};

// `state` after `change`. Fails with kConflict unless the change has the next
// sequence, and with kInvalidConfig if its configuration cannot be read.
Result<ControlState> ApplyChange(const ControlState& state,
                                 const Change& change);

}  // namespace bamboomount

#endif  // STATE_CONTROL_STATE_H_
