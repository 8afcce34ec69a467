#ifndef POLICY_QUEUE_DISCIPLINE_H_
#define POLICY_QUEUE_DISCIPLINE_H_

#include <string>
#include <string_view>
#include <vector>

#include "policy/slot_request.h"

namespace bamboomount {

// Order in which waiting requests are served, as the parts of a request that
// keep it apart from others. What is merged is served first-come-first-served.
struct QueueDiscipline {
  std::string_view name;
  bool by_tier = true;
  bool by_customer = true;
  // Whether waiting classes get a guaranteed minimum share.
  bool prevents_starvation = true;
  // Whether requests that are predicted to miss their target are shed.
  bool sheds_predicted_misses = true;
};

// "weighted_tiers", and the baselines "strict_priority" and "first_come".
// Throws std::invalid_argument for other names.
const QueueDiscipline& FindQueueDiscipline(std::string_view name);
std::vector<std::string> QueueDisciplineNames();

}  // namespace bamboomount

#endif  // POLICY_QUEUE_DISCIPLINE_H_
