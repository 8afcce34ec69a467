#ifndef STATE_INTERNAL_CHANGE_CHECK_H_
#define STATE_INTERNAL_CHANGE_CHECK_H_

#include "base/base.h"
#include "state/change.h"
#include "state/control_state.h"

namespace bamboomount::internal {

// What to do with a valid change.
enum class ChangeDisposition {
  kAppend,
  // The state already has the effect of the change; nothing is appended.
  kAlreadyInEffect,
};

// Checks whether `body` may be appended to a log whose state is `state`. Sets
// the version of a configuration to the one after its base. Errors as in
// ChangeLog::Append, except that the text of a configuration is not checked.
Result<ChangeDisposition> CheckChange(const ControlState& state,
                                      ChangeBody& body);

}  // namespace bamboomount::internal

#endif  // STATE_INTERNAL_CHANGE_CHECK_H_
