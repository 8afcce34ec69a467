#include "router/internal/retry_permission.h"

#include <random>

namespace bamboomount {
namespace {

double RandomFraction() {
  thread_local std::mt19937_64 generator(std::random_device{}());
  return std::uniform_real_distribution<double>(0, 1)(generator);
}

}  // namespace

void CountFirstAttempt(HandlerContext& context, const ServiceConfig& config) {
  context.retry_budget.AddRequest(static_cast<int>(
      config.Limit("retry_budget_percent", RetryBudget::kDefaultPercent)));
}

asio::awaitable<bool> WaitForRetry(HandlerContext& context,
                                   RunningRequest& request,
                                   int retry) {
  if (request.cancel_reason() || !context.retry_budget.TrySpend()) {
    context.dependencies.metrics.Increment("bamboomount_retries_refused_total");
    co_return false;
  }
  context.dependencies.metrics.Increment("bamboomount_retries_total");
  asio::steady_timer delay(request.executor(),
                           RetryBudget::Backoff(retry, RandomFraction()));
  request.SetCancelAction([&delay] { delay.cancel(); });
  error_code ignored;
  co_await delay.async_wait(RedirectError(ignored));
  request.ClearCancelAction();
  co_return !request.cancel_reason().has_value();
}

}  // namespace bamboomount
