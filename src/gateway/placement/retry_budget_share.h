#ifndef GATEWAY_PLACEMENT_RETRY_BUDGET_SHARE_H_
#define GATEWAY_PLACEMENT_RETRY_BUDGET_SHARE_H_

#include <cstdint>
#include <map>

#include "gateway/boot_clock.h"

namespace bamboomount {

// Retry budget of the whole fleet for one pool: in any window, at most `ratio`
// times the requests of the window plus `slack`.
struct RetryLimits {
  double ratio = 0.2;
  double slack = 20;
  Millis window{10000};
};

// This instance's share of the fleet's retry budget for one pool: `ratio` times
// its own requests plus an equal part of `slack`. The shares add up to the
// fleet's budget, so instances need not coordinate. Without a budget, retries
// after a burst of failures would keep a recovering pool overloaded. Not
// thread-safe.
class RetryBudgetShare {
 public:
  // Fraction of the share that may be spent. The rest covers instances that
  // restart and lose their counts, and windows that do not start on a bucket
  // boundary.
  static constexpr double kUsedFraction = 0.75;

  // Counts a request, which enlarges the share.
  void AddRequest(Instant now) { ++BucketAt(now).requests; }
  // Spends one retry. Returns false, without counting it, if the share is used
  // up.
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
