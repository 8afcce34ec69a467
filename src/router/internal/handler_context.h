#ifndef ROUTER_INTERNAL_HANDLER_CONTEXT_H_
#define ROUTER_INTERNAL_HANDLER_CONTEXT_H_

#include <memory>

#include "router/internal/blocking_pool.h"
#include "router/internal/claim_store.h"
#include "router/internal/running_requests.h"
#include "router/internal/shared_retry_budget.h"
#include "router/router_options.h"

namespace bamboomount {

// What all request handlers of one router share.
struct HandlerContext {
  const RouterOptions& options;
  RouterDependencies& dependencies;
  RunningRequests& running;
  BlockingPool& blocking_pool;
  ClaimStore& claims;
  SharedRetryBudget& retry_budget;
};

}  // namespace bamboomount

#endif  // ROUTER_INTERNAL_HANDLER_CONTEXT_H_
