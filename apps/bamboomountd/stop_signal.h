#ifndef APPS_BAMBOOMOUNTD_STOP_SIGNAL_H_
#define APPS_BAMBOOMOUNTD_STOP_SIGNAL_H_

#include <unistd.h>

#include <csignal>

namespace bamboomount {

// SIGTERM and SIGINT as something to wait for. Construct it before any thread
// starts, so that all threads inherit the blocked signals.
class StopSignal {
 public:
  StopSignal() {
    sigemptyset(&signals_);
    sigaddset(&signals_, SIGTERM);
    sigaddset(&signals_, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals_, nullptr);
  }

  // Makes Wait return, as a planned stop that an operator asked for.
  static void Request() { kill(getpid(), SIGTERM); }

  // Blocks until a signal arrives; returns its number.
  int Wait() const {
    int signal = 0;
    sigwait(&signals_, &signal);
    return signal;
  }

 private:
  sigset_t signals_{};
};

}  // namespace bamboomount

#endif  // APPS_BAMBOOMOUNTD_STOP_SIGNAL_H_
