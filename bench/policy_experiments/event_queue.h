#ifndef POLICY_EXPERIMENTS_EVENT_QUEUE_H_
#define POLICY_EXPERIMENTS_EVENT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "base/base.h"

namespace bamboomount {

// Event queue of a simulation with its own clock. Runs actions in order of
// time, those of equal time in order of insertion.
class EventQueue {
 public:
  using Action = std::function<void()>;

  void At(SteadyTime time, Action action) {
    events_.push({time, next_++, std::move(action)});
  }
  void After(std::chrono::duration<double> delay, Action action) {
    At(now_ + std::chrono::duration_cast<SteadyTime::duration>(delay),
       std::move(action));
  }
  void RunUntil(SteadyTime end) {
    while (!events_.empty() && events_.top().time <= end) {
      Event event = events_.top();
      events_.pop();
      now_ = event.time;
      event.action();
    }
    now_ = end;
  }
  SteadyTime now() const { return now_; }

 private:
  struct Event {
    SteadyTime time;
    std::uint64_t order = 0;
    Action action;
    bool operator<(const Event& other) const {
      return std::pair(time, order) > std::pair(other.time, other.order);
    }
  };

  std::priority_queue<Event> events_;
  SteadyTime now_{std::chrono::hours(1)};
  std::uint64_t next_ = 0;
};

}  // namespace bamboomount

#endif  // POLICY_EXPERIMENTS_EVENT_QUEUE_H_
