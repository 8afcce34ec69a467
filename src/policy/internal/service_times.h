#ifndef POLICY_INTERNAL_SERVICE_TIMES_H_
#define POLICY_INTERNAL_SERVICE_TIMES_H_

#include <map>
#include <optional>

#include "policy/internal/waiting_queue.h"

namespace bamboomount {

// Tracks how long the requests of each class hold a slot, and predicts times to
// first token. Not thread-safe.
class ServiceTimes {
 public:
  // A request of the class has taken a slot.
  void Start(const ClassId& class_id);
  // A request of the class has released its slot. `hold_time` is empty if the
  // grant was not observed or the connection failed.
  void End(const ClassId& class_id, std::optional<Millis> hold_time);
  // Adds a time from grant to first token.
  void ObserveFirstToken(const ClassId& class_id, Millis time);

  // Predicts the time from now to the first token of the last waiting request
  // of `waiting_class`. Returns nullopt without enough samples of the class or
  // while nothing runs. Parts without samples count as 0, so that the
  // prediction is rather too short than too long.
  std::optional<Millis> PredictTimeToFirstToken(
      const WaitingQueue::ClassCount& waiting_class,
      const std::map<WaitingQueue::ClassKey, WaitingQueue::ClassCount>& counts)
      const;

 private:
  struct ClassStatistics {
    // Requests that hold a slot now.
    int running = 0;
    int samples = 0;
    double mean_hold_ms = 0;
    int first_token_samples = 0;
    double mean_first_token_ms = 0;

    bool has_enough_samples() const;
  };

  // Slots released per millisecond, estimated from the running requests.
  // Classes without enough samples count with the shortest known hold time.
  double ReleaseRate() const;

  std::map<ClassId, ClassStatistics> records_;
};

}  // namespace bamboomount

#endif  // POLICY_INTERNAL_SERVICE_TIMES_H_
