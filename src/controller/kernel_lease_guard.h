#ifndef CONTROLLER_KERNEL_LEASE_GUARD_H_
#define CONTROLLER_KERNEL_LEASE_GUARD_H_

#include <time.h>

#include "controller/lease_guard.h"

namespace bamboomount {

// Has the kernel send SIGKILL to this process at the deadline. It covers a
// stopped or starved process. It does not cover a paused virtual machine or a
// packet already in a socket; there the fencing token has to. Failures throw
// std::system_error.
class KernelLeaseGuard : public LeaseGuard {
 public:
  KernelLeaseGuard();
  ~KernelLeaseGuard() override;
  KernelLeaseGuard(const KernelLeaseGuard&) = delete;
  KernelLeaseGuard& operator=(const KernelLeaseGuard&) = delete;

  void Arm(std::chrono::nanoseconds deadline) override;
  void Disarm() override;

 private:
  void SetTimer(std::chrono::nanoseconds deadline);

  timer_t timer_{};
};

}  // namespace bamboomount

#endif  // CONTROLLER_KERNEL_LEASE_GUARD_H_
