#ifndef CONTROLLER_LEASE_GUARD_H_
#define CONTROLLER_LEASE_GUARD_H_

#include <chrono>

namespace bamboomount {

// Prevents this process from acting on an expired lease, even if the process is
// paused between a check of the lease and the action.
class LeaseGuard {
 public:
  virtual ~LeaseGuard() = default;

  // The process executes no code after `deadline` (time of CLOCK_BOOTTIME).
  // Replaces an earlier deadline.
  virtual void Arm(std::chrono::nanoseconds deadline) = 0;
  virtual void Disarm() = 0;
};

}  // namespace bamboomount

#endif  // CONTROLLER_LEASE_GUARD_H_
