#ifndef ROUTER_INTERNAL_BLOCKING_POOL_H_
#define ROUTER_INTERNAL_BLOCKING_POOL_H_

#include <atomic>
#include <boost/asio/thread_pool.hpp>
#include <functional>
#include <memory>
#include <optional>

#include "base/base.h"
#include "router/internal/asio.h"

namespace bamboomount {

// Runs blocking calls to the platform away from the threads that serve
// callers. At most `max_pending_calls` calls wait or run; more are refused at
// once, so that a slow store cannot collect requests without bound.
class BlockingPool {
 public:
  BlockingPool(int threads, int max_pending_calls)
      : max_pending_calls_(max_pending_calls), pool_(threads) {}
  ~BlockingPool() { pool_.join(); }
  BlockingPool(const BlockingPool&) = delete;
  BlockingPool& operator=(const BlockingPool&) = delete;

  // The result of `call`, or kStoreUnavailable with verdict kNotRun if too
  // many calls wait already.
  template <typename T>
  asio::awaitable<Result<T>> Run(const std::function<Result<T>()>& call);

 private:
  const int max_pending_calls_;
  std::atomic<int> pending_calls_ = 0;
  asio::thread_pool pool_;
};

template <typename T>
asio::awaitable<Result<T>> BlockingPool::Run(
    const std::function<Result<T>()>& call) {
  if (++pending_calls_ > max_pending_calls_) {
    --pending_calls_;
    co_return Error{ErrorCode::kStoreUnavailable,
                    RunVerdict::kNotRun,
                    "too many requests wait for the platform's store",
                    {}};
  }
  const auto executor = co_await asio::this_coro::executor;
  struct CallState {
    explicit CallState(const asio::any_io_executor& executor)
        : wake_timer(executor, asio::steady_timer::time_point::max()) {}
    asio::steady_timer wake_timer;
    std::optional<Result<T>> result;
  };
  const auto state = std::make_shared<CallState>(executor);
  asio::post(pool_, [this, state, call] {
    auto result = call();
    --pending_calls_;
    asio::post(state->wake_timer.get_executor(),
               [state, result = std::move(result)] {
                 state->result = result;
                 state->wake_timer.cancel();
               });
  });
  error_code ignored;
  while (!state->result)
    co_await state->wake_timer.async_wait(RedirectError(ignored));
  co_return *state->result;
}

}  // namespace bamboomount

#endif  // ROUTER_INTERNAL_BLOCKING_POOL_H_
