#ifndef POLICY_LOAD_REPORT_H_
#define POLICY_LOAD_REPORT_H_

#include "base/base.h"

namespace bamboomount {

// What a backend server says of itself; it may describe the past.
struct LoadReport {
  int running = 0;
  int waiting = 0;
  double tokens_per_second = 0;
  bool leaving = false;
  // Age of the figures at the time of the answer.
  Millis age{0};
};

}  // namespace bamboomount

#endif  // POLICY_LOAD_REPORT_H_
