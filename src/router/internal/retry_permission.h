#ifndef ROUTER_INTERNAL_RETRY_PERMISSION_H_
#define ROUTER_INTERNAL_RETRY_PERMISSION_H_

#include "config/config.h"
#include "router/internal/asio.h"
#include "router/internal/handler_context.h"
#include "router/internal/running_request.h"

namespace bamboomount {

// Counts the first attempt of a request in the retry budget, which earns
// retry_budget_percent hundredths of a retry.
void CountFirstAttempt(HandlerContext& context, const ServiceConfig& config);

// Takes one retry from the budget and waits for the back-off of retry number
// `retry` (from 1). Returns false if the budget is spent or the request is
// cancelled.
asio::awaitable<bool> WaitForRetry(HandlerContext& context,
                                   RunningRequest& request,
                                   int retry);

}  // namespace bamboomount

#endif  // ROUTER_INTERNAL_RETRY_PERMISSION_H_
