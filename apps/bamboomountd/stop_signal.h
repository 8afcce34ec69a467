#ifndef APPS_BAMBOOMOUNTD_STOP_SIGNAL_H_
#define APPS_BAMBOOMOUNTD_STOP_SIGNAL_H_

#include <unistd.h>

#include <csignal>

namespace bamboomount {

// Blocks SIGTERM and SIGINT and lets one thread wait for them. Construct it
// before any thread starts, so that all threads inherit the signal mask.
class StopSignal {
 public:
  StopSignal() {
    sigemptyset(&signals_);
    sigaddset(&signals_, SIGTERM);
    sigaddset(&signals_, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals_, nullptr);
  }

  // Makes Wait return, to begin the graceful shutdown that an operator
  // requested.
  static void Request() { kill(getpid(), SIGTERM); }

  // Blocks until one of the signals arrives and returns its number.
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
