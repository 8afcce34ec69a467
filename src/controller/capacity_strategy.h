#ifndef CONTROLLER_CAPACITY_STRATEGY_H_
#define CONTROLLER_CAPACITY_STRATEGY_H_

#include <vector>

#include "controller/journal_entry.h"
#include "provider/provider.h"

namespace bamboomount {

// What a strategy gets besides its own sources of demand and supply.
struct CapacityContext {
  // The newest settled orders, oldest first, those of earlier holders
  // included. Accepted ones may not show in the instance list yet.
  std::vector<JournalEntry> resolved_orders;
};

// Decides which backend servers to order or give back.
class CapacityStrategy {
 public:
  virtual ~CapacityStrategy() = default;

  // Called only by the lease holder, while no order is unresolved. The journal
  // fills in order_id and fencing_token.
  virtual std::vector<BackendOrder> Plan(const CapacityContext& context) = 0;
};

}  // namespace bamboomount

#endif  // CONTROLLER_CAPACITY_STRATEGY_H_
