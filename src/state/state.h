// Public header of the state library: the change log and the control state
// that results from applying it.
#ifndef STATE_STATE_H_
#define STATE_STATE_H_

#include "state/change.h"
#include "state/change_log.h"
#include "state/control_state.h"
#include "state/control_state_holder.h"
#include "state/events.h"
#include "state/freshness_rule.h"
#include "state/state_follower.h"

#endif  // STATE_STATE_H_
