#ifndef CONTROLLER_LEASE_SETTINGS_H_
#define CONTROLLER_LEASE_SETTINGS_H_

#include "base/base.h"

namespace bamboomount {

// All instances must use the same values.
struct LeaseSettings {
  Millis duration{6000};
  Millis renewal_interval{2000};
  // Added to `duration` when waiting for another holder's lease to expire;
  // covers clocks that run at different speeds.
  Millis takeover_margin{1000};
  // The guard ends the process this long before the lease expires.
  Millis guard_margin{500};
  // A holder that could not renew stops acting this long before the guard
  // would end the process, so that a store outage does not end it.
  Millis step_down_margin{500};
  Millis store_timeout{1000};
  // Time between two reads of the row by an instance without the lease: 175
  // reads a second over 350 nodes.
  Millis observe_interval{2000};
};

}  // namespace bamboomount

#endif  // CONTROLLER_LEASE_SETTINGS_H_
