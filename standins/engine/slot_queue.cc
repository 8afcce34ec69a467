#include "engine/slot_queue.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace standin {
namespace {

// How often a waiting request checks whether it was cancelled.
constexpr std::chrono::milliseconds kCancellationPollInterval{20};

}  // namespace

boost::asio::awaitable<bool> SlotQueue::Acquire(
    int tier,
    std::function<bool()> is_cancelled) {
  if (running_ < slots_) {
    ++running_;
    co_return true;
  }
  Waiter waiter{boost::asio::steady_timer(io_)};
  const std::pair<int, std::int64_t> key(tier, arrivals_++);
  waiting_.emplace(key, &waiter);
  while (!waiter.granted) {
    waiter.timer.expires_after(kCancellationPollInterval);
    boost::system::error_code ignored;
    co_await waiter.timer.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    if (!waiter.granted && is_cancelled()) {
      waiting_.erase(key);
      co_return false;
    }
  }
  co_return true;
}

void SlotQueue::Release() {
  if (waiting_.empty()) {
    --running_;
    return;
  }
  Waiter* next = waiting_.begin()->second;
  waiting_.erase(waiting_.begin());
  next->granted = true;
  next->timer.cancel();
}

}  // namespace standin
