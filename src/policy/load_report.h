#ifndef POLICY_LOAD_REPORT_H_
#define POLICY_LOAD_REPORT_H_

#include "base/base.h"

namespace bamboomount {

// Load as reported by a backend server itself; may be out of date by `age`.
struct LoadReport {
  // Requests that run and wait on the backend server, from all senders.
  int running = 0;
  int waiting = 0;
  // Output tokens per second.
  double tokens_per_second = 0;
  // The backend server is shutting down.
  bool leaving = false;
  // Age of the values when the backend server answered.
  Millis age{0};
};

}  // namespace bamboomount

#endif  // POLICY_LOAD_REPORT_H_
