#include "gateway/placement/retry_allowance.h"

#include <algorithm>

namespace bamboomount {

bool RetryAllowance::TrySpend(const RetryLimits& limits,
                              int instances,
                              Instant now) {
  const std::int64_t first = (now - limits.window).time_since_epoch() / kBucket;
  buckets_.erase(buckets_.begin(), buckets_.lower_bound(first));
  Bucket sum;
  for (const auto& [index, bucket] : buckets_) {
    sum.requests += bucket.requests;
    sum.repeats += bucket.repeats;
  }
  const double bound =
      limits.ratio * static_cast<double>(sum.requests) +
      limits.slack / static_cast<double>(std::max(instances, 1));
  if (static_cast<double>(sum.repeats + 1) > bound * kUsedPart)
    return false;
  ++BucketAt(now).repeats;
  return true;
}

RetryAllowance::Bucket& RetryAllowance::BucketAt(Instant now) {
  return buckets_[now.time_since_epoch() / kBucket];
}

}  // namespace bamboomount
