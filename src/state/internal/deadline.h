#ifndef STATE_INTERNAL_DEADLINE_H_
#define STATE_INTERNAL_DEADLINE_H_

#include <algorithm>
#include <chrono>

#include "base/base.h"

namespace bamboomount::internal {

// Shares one time limit among several calls.
class Deadline {
 public:
  explicit Deadline(Millis timeout)
      : end_(std::chrono::steady_clock::now() + timeout) {}

  // Returns at least 1 ms, since transports interpret 0 as "no limit".
  Millis Remaining() const {
    const auto left = std::chrono::duration_cast<Millis>(
        end_ - std::chrono::steady_clock::now());
    return std::max(left, Millis(1));
  }
  bool HasPassed() const { return std::chrono::steady_clock::now() >= end_; }

 private:
  SteadyTime end_;
};

}  // namespace bamboomount::internal

#endif  // STATE_INTERNAL_DEADLINE_H_
