#ifndef CONTROLLER_KERNEL_LEASE_GUARD_H_
#define CONTROLLER_KERNEL_LEASE_GUARD_H_

#include <time.h>

#include "controller/lease_guard.h"

namespace bamboomount {

// Makes the kernel send SIGKILL to this process at the deadline. This also
// works if the process is stopped or gets no CPU time. It does not help against
// a paused virtual machine or a packet that is already in a socket; the fencing
// token covers these cases. Failures throw std::system_error.
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
