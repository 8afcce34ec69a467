#ifndef CONTROLLER_LEASE_GUARD_H_
#define CONTROLLER_LEASE_GUARD_H_

#include <chrono>

namespace bamboomount {

// Keeps this process from acting on an expired lease even if it is stopped
// between a check of the lease and the action.
class LeaseGuard {
 public:
  virtual ~LeaseGuard() = default;

  // From `deadline` (CLOCK_BOOTTIME) on, the process executes nothing more.
  // Replaces an earlier deadline.
  virtual void Arm(std::chrono::nanoseconds deadline) = 0;
  virtual void Disarm() = 0;
};

}  // namespace bamboomount

#endif  // CONTROLLER_LEASE_GUARD_H_
