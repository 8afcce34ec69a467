#ifndef ROUTER_INTERNAL_SHARED_RETRY_BUDGET_H_
#define ROUTER_INTERNAL_SHARED_RETRY_BUDGET_H_

#include <mutex>

#include "policy/policy.h"

namespace bamboomount {

// Retry budget shared by all requests of one router. Thread-safe.
class SharedRetryBudget {
 public:
  void AddRequest(int percent) {
    const std::lock_guard lock(mutex_);
    budget_.AddRequest(percent);
  }
  bool TrySpend() {
    const std::lock_guard lock(mutex_);
    return budget_.TrySpend();
  }

 private:
  std::mutex mutex_;
  RetryBudget budget_;
};

}  // namespace bamboomount

#endif  // ROUTER_INTERNAL_SHARED_RETRY_BUDGET_H_
