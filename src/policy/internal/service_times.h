#ifndef POLICY_INTERNAL_SERVICE_TIMES_H_
#define POLICY_INTERNAL_SERVICE_TIMES_H_

#include <map>
#include <optional>

#include "policy/internal/waiting_queue.h"

namespace bamboomount {

// Learns how long requests of each class hold a slot and predicts waits.
class ServiceTimes {
 public:
  void Start(const ClassId& class_id);
  // `held` is empty if the grant was not observed.
  void End(const ClassId& class_id, std::optional<Millis> hold_time);
  void ObserveFirstToken(const ClassId& class_id, Millis time);

  // Predicted time from now to the first token of the last waiting request of
  // `last`. Empty without evidence. Parts without evidence count as 0, so that
  // the prediction is not too long.
  std::optional<Millis> PredictTimeToFirstToken(
      const WaitingQueue::ClassCount& waiting_class,
      const std::map<WaitingQueue::ClassKey, WaitingQueue::ClassCount>& counts)
      const;

 private:
  struct ClassStatistics {
    int running = 0;
    int samples = 0;
    double mean_hold_ms = 0;
    int first_token_samples = 0;
    double mean_first_token_ms = 0;

    bool has_enough_samples() const;
  };

  // Slots that become free in a millisecond, from the requests running now.
  double ReleaseRate() const;

  std::map<ClassId, ClassStatistics> records_;
};

}  // namespace bamboomount

#endif  // POLICY_INTERNAL_SERVICE_TIMES_H_
