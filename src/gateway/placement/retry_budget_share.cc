#include "gateway/placement/retry_budget_share.h"

#include <algorithm>

namespace bamboomount {

bool RetryBudgetShare::TrySpend(const RetryLimits& limits,
                                int instances,
                                Instant now) {
  const std::int64_t first =
      (now - limits.window).time_since_epoch() / kBucketWidth;
  buckets_.erase(buckets_.begin(), buckets_.lower_bound(first));
  Bucket sum;
  for (const auto& [index, bucket] : buckets_) {
    sum.requests += bucket.requests;
    sum.retries += bucket.retries;
  }
  const double bound =
      limits.ratio * static_cast<double>(sum.requests) +
      limits.slack / static_cast<double>(std::max(instances, 1));
  if (static_cast<double>(sum.retries + 1) > bound * kUsedFraction)
    return false;
  ++BucketAt(now).retries;
  return true;
}

RetryBudgetShare::Bucket& RetryBudgetShare::BucketAt(Instant now) {
  return buckets_[now.time_since_epoch() / kBucketWidth];
}

}  // namespace bamboomount
