#ifndef POLICY_QUEUE_DISCIPLINE_H_
#define POLICY_QUEUE_DISCIPLINE_H_

#include <string>
#include <string_view>
#include <vector>

#include "policy/slot_request.h"

namespace bamboomount {

// Order in which waiting requests are served. Requests that are not
// distinguished by tier or by class and customer share a queue that is first
// come, first served.
struct QueueDiscipline {
  std::string_view name;
  // Whether higher tiers are served first.
  bool by_tier = true;
  // Whether each class has its own queue, shared fairly among its customers.
  bool by_customer = true;
  // Whether waiting classes receive guaranteed grants, see CellOptions.
  bool prevents_starvation = true;
  // Whether requests predicted to miss their first-token target are shed.
  bool sheds_predicted_misses = true;
};

// Returns the discipline named "weighted_tiers", or one of the baselines
// "strict_priority" and "first_come". Throws std::invalid_argument if the name
// is unknown.
const QueueDiscipline& FindQueueDiscipline(std::string_view name);
std::vector<std::string> QueueDisciplineNames();

}  // namespace bamboomount

#endif  // POLICY_QUEUE_DISCIPLINE_H_
