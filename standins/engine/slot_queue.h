#ifndef ENGINE_SLOT_QUEUE_H_
#define ENGINE_SLOT_QUEUE_H_

#include "support/http_server.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>

namespace standin {

// Grants a bounded number of slots, lowest tier first and in order of arrival
// within a tier. Not thread-safe.
class SlotQueue {
 public:
  SlotQueue(boost::asio::io_context& io, int slots) : io_(io), slots_(slots) {}

  // Waits for a slot and returns true. Returns false, without a slot, once
  // `is_cancelled` returns true.
  boost::asio::awaitable<bool> Acquire(int tier,
                                       std::function<bool()> is_cancelled);
  // Passes a slot from Acquire to the next waiting request, or frees it.
  void Release();

  int running() const { return running_; }
  int waiting() const { return static_cast<int>(waiting_.size()); }
  int slots() const { return slots_; }

 private:
  struct Waiter {
    boost::asio::steady_timer timer;
    bool granted = false;
  };

  boost::asio::io_context& io_;
  const int slots_;
  int running_ = 0;
  std::int64_t arrivals_ = 0;
  std::map<std::pair<int, std::int64_t>, Waiter*> waiting_;
};

}  // namespace standin

#endif  // ENGINE_SLOT_QUEUE_H_
