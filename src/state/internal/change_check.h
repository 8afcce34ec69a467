#ifndef STATE_INTERNAL_CHANGE_CHECK_H_
#define STATE_INTERNAL_CHANGE_CHECK_H_

#include "base/base.h"
#include "state/change.h"
#include "state/control_state.h"

namespace bamboomount::internal {

enum class ChangeDisposition {
  kAppend,
  // The state already is as the change asks.
  kAlreadyInEffect,
};

// Whether `body` may follow `state`; numbers the version of a configuration.
// Errors as in ChangeLog::Append.
Result<ChangeDisposition> CheckChange(const ControlState& state,
                                      ChangeBody& body);

}  // namespace bamboomount::internal

#endif  // STATE_INTERNAL_CHANGE_CHECK_H_
