#ifndef STANDINS_PLATFORM_RATE_LIMIT_H_
#define STANDINS_PLATFORM_RATE_LIMIT_H_

#include <chrono>
#include <mutex>

namespace bamboomount::standin {

// Rate limiter that admits at most `per_second` calls in each window of one
// second. Thread-safe.
class RateLimit {
 public:
  explicit RateLimit(int per_second) : per_second_(per_second) {}

  void set_per_second(int per_second) {
    const std::lock_guard lock(mutex_);
    per_second_ = per_second;
  }

  // Returns whether a call that arrives now is admitted.
  bool Allow() {
    const std::lock_guard lock(mutex_);
    const auto now = std::chrono::steady_clock::now();
    if (now - second_start_ >= std::chrono::seconds(1)) {
      second_start_ = now;
      used_ = 0;
    }
    return used_++ < per_second_;
  }

 private:
  std::mutex mutex_;
  int per_second_;
  int used_ = 0;
  std::chrono::steady_clock::time_point second_start_;
};

}  // namespace bamboomount::standin

#endif  // STANDINS_PLATFORM_RATE_LIMIT_H_
