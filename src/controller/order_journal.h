#ifndef CONTROLLER_ORDER_JOURNAL_H_
#define CONTROLLER_ORDER_JOURNAL_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "base/base.h"
#include "controller/journal_entry.h"
#include "controller/lease_manager.h"
#include "provider/provider.h"

namespace bamboomount {

struct OrderJournalSettings {
  Millis store_timeout{1000};
  Millis order_timeout{1000};
  // Time for which a holder keeps asking the platform about an order that it
  // has not received, before the order counts as abandoned. Must be at least
  // the lease duration, so that the calls of the previous holder have ended.
  Millis resolve_timeout{6000};
  // Number of resolved orders that are kept for operators and strategies.
  std::size_t retained_orders = 64;
};

// Records each order in the table before it is sent, and finds out the outcome
// of orders for which it is unknown. Not thread-safe; used from the thread of
// the lease manager.
class OrderJournal {
 public:
  OrderJournal(TableStore& store,
               BackendOrders& orders,
               LeaseManager& lease,
               const OrderJournalSettings& settings,
               BootClock clock = BootTimeNow);

  // Loads the journal after a change of holder and asks the platform about
  // unresolved orders. Returns true if none is left; only then may a new order
  // be sent.
  bool ResolveOrders();

  // Records and sends one order; fills in its id and fencing token. Returns
  // empty if the order could not be recorded and was therefore not sent.
  // Returns kRecorded if its outcome is unknown, so that ResolveOrders has to
  // find it out.
  std::optional<OrderState> SubmitOrder(BackendOrder order);

  std::size_t unresolved_count() const { return unresolved_.size(); }
  // The newest resolved orders, oldest first.
  std::vector<JournalEntry> resolved() const;

 private:
  struct UnresolvedOrder {
    JournalEntry entry;
    RowVersion version;
    std::chrono::nanoseconds since;
    // Set when the outcome is known but not yet written to the table.
    std::optional<OrderState> outcome;
  };

  bool LoadJournal();
  std::string NextOrderId();
  // Writes the order's row before the order is sent. Returns false if the row
  // may be missing.
  bool RecordOrder(const JournalEntry& entry);
  std::optional<OrderState> QueryOutcome(const UnresolvedOrder& unresolved);
  // Writes the outcome of an order to its row. Returns false if the write has
  // to be retried.
  bool RecordOutcome(UnresolvedOrder& unresolved);
  void LogOutcome(const JournalEntry& entry) const;

  TableStore& store_;
  BackendOrders& orders_;
  LeaseManager& lease_;
  const OrderJournalSettings settings_;
  const BootClock clock_;
  // Fencing token of the lease under which the journal was loaded; 0 if it was
  // not loaded.
  FencingToken loaded_token_;
  std::uint64_t last_order_number_ = 0;
  std::vector<UnresolvedOrder> unresolved_;
  std::deque<JournalEntry> resolved_;
};

}  // namespace bamboomount

#endif  // CONTROLLER_ORDER_JOURNAL_H_
