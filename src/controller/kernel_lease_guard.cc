#include "controller/kernel_lease_guard.h"

#include <signal.h>

#include <algorithm>
#include <cerrno>
#include <system_error>

namespace bamboomount {

KernelLeaseGuard::KernelLeaseGuard() {
  sigevent event{};
  event.sigev_notify = SIGEV_SIGNAL;
  event.sigev_signo = SIGKILL;
  if (timer_create(CLOCK_BOOTTIME, &event, &timer_) != 0)
    throw std::system_error(errno, std::generic_category(), "timer_create");
}

KernelLeaseGuard::~KernelLeaseGuard() {
  timer_delete(timer_);
}

void KernelLeaseGuard::Arm(std::chrono::nanoseconds deadline) {
  // A zero value would disarm the timer.
  SetTimer(std::max(deadline, std::chrono::nanoseconds(1)));
}

void KernelLeaseGuard::Disarm() {
  SetTimer(std::chrono::nanoseconds(0));
}

void KernelLeaseGuard::SetTimer(std::chrono::nanoseconds deadline) {
  const auto seconds =
      std::chrono::duration_cast<std::chrono::seconds>(deadline);
  itimerspec spec{};
  spec.it_value.tv_sec = seconds.count();
  spec.it_value.tv_nsec = (deadline - seconds).count();
  if (timer_settime(timer_, TIMER_ABSTIME, &spec, nullptr) != 0)
    throw std::system_error(errno, std::generic_category(), "timer_settime");
}

}  // namespace bamboomount
