#ifndef GATEWAY_PLACEMENT_RETRY_BUDGET_SHARE_H_
#define GATEWAY_PLACEMENT_RETRY_BUDGET_SHARE_H_

#include <cstdint>
#include <map>

#include "gateway/boot_clock.h"

namespace bamboomount {

// The fleet-wide bound on retries: in any window, at most `ratio` times the
// requests of the window plus `slack`.
struct RetryLimits {
  double ratio = 0.2;
  double slack = 20;
  Millis window{10000};
};

// This instance's part of the bound, for one pool: `ratio` times its own
// requests and an equal part of the slack. The parts add up to the bound, so
// that no instance has to ask another one. Answers bursts of failures, in which
// unbounded retries would keep a recovering pool overloaded.
class RetryBudgetShare {
 public:
  // Part of the bound that is used; the rest covers instances that restart and
  // forget what they spent, and windows that start between two counts.
  static constexpr double kUsedFraction = 0.75;

  void AddRequest(Instant now) { ++BucketAt(now).requests; }
  // Takes one repeat; false if there is none left.
  bool TrySpend(const RetryLimits& limits, int instances, Instant now);

 private:
  static constexpr Millis kBucketWidth{500};
  struct Bucket {
    std::int64_t requests = 0;
    std::int64_t retries = 0;
  };

  Bucket& BucketAt(Instant now);

  std::map<std::int64_t, Bucket> buckets_;
};

}  // namespace bamboomount

#endif  // GATEWAY_PLACEMENT_RETRY_BUDGET_SHARE_H_
