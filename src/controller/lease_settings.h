#ifndef CONTROLLER_LEASE_SETTINGS_H_
#define CONTROLLER_LEASE_SETTINGS_H_

#include "base/base.h"

namespace bamboomount {

// Time settings of the lease. All instances must use the same values.
struct LeaseSettings {
  // Time for which the lease is valid after the holder sent its last write.
  Millis duration{6000};
  // Age of the last write at which the holder renews the lease.
  Millis renewal_interval{2000};
  // Added to `duration` when another instance waits for the lease to expire, to
  // allow for clocks that run at different speeds.
  Millis takeover_margin{1000};
  // Time before the expiry of the lease at which the guard ends the process.
  Millis guard_margin{500};
  // Time before the guard's deadline at which a holder that could not renew the
  // lease steps down, so that an outage of the store does not end the process.
  Millis step_down_margin{500};
  Millis store_timeout{1000};
  // Time between two reads of the lease row by an instance without the lease;
  // 350 instances cause 175 reads a second in total.
  Millis observe_interval{2000};
};

}  // namespace bamboomount

#endif  // CONTROLLER_LEASE_SETTINGS_H_
