#ifndef CONTROLLER_CAPACITY_STRATEGY_H_
#define CONTROLLER_CAPACITY_STRATEGY_H_

#include <vector>

#include "controller/journal_entry.h"
#include "provider/provider.h"

namespace bamboomount {

// Input of a strategy in addition to its own sources of demand and supply.
struct CapacityContext {
  // The newest resolved orders, oldest first, including those of earlier
  // holders. Backend servers of accepted orders may not be in the instance list
  // yet.
  std::vector<JournalEntry> resolved_orders;
};

// Decides how many backend servers to order or to release.
class CapacityStrategy {
 public:
  virtual ~CapacityStrategy() = default;

  // Returns the orders to send. Called only on the lease holder and only while
  // no order is unresolved. The journal fills in order_id and fencing_token.
  virtual std::vector<BackendOrder> Plan(const CapacityContext& context) = 0;
};

}  // namespace bamboomount

#endif  // CONTROLLER_CAPACITY_STRATEGY_H_
