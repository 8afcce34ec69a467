#ifndef CONTROLLER_SPENDING_STRATEGY_H_
#define CONTROLLER_SPENDING_STRATEGY_H_

#include <vector>

#include "controller/journal_entry.h"
#include "provider/provider.h"

namespace bamboomount {

// What a strategy gets besides its own sources of demand and supply.
struct SpendingContext {
  // The newest settled orders, oldest first, those of earlier holders
  // included. Accepted ones may not show in the instance list yet.
  std::vector<JournalEntry> settled_orders;
};

// Decides which backend servers to order or give back.
class SpendingStrategy {
 public:
  virtual ~SpendingStrategy() = default;

  // Called only by the lease holder, while no order is unresolved. The journal
  // fills in order_id and fencing_token.
  virtual std::vector<BackendOrder> Plan(const SpendingContext& context) = 0;
};

}  // namespace bamboomount

#endif  // CONTROLLER_SPENDING_STRATEGY_H_
