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
  // How long a holder keeps asking for an order that the platform does not
  // know before it plans without it. At least the lease duration, so that a
  // call of the last holder has ended.
  Millis resolve_timeout{6000};
  // Settled orders that are kept for operators and strategies.
  std::size_t retained_orders = 64;
};

// Records each order before it is sent and finds out what became of orders
// whose outcome is unknown. Used from one thread, that of the lease.
class OrderJournal {
 public:
  OrderJournal(TableStore& store,
               BackendOrders& orders,
               LeaseManager& lease,
               const OrderJournalSettings& settings,
               BootClock clock = BootTimeNow);

  // Loads the journal after a change of holder and asks the platform about
  // orders whose outcome is unknown. True if there is none left: only then may
  // a new order be sent.
  bool ResolveOrders();

  // Records and sends one order; fills in its id and fencing token. Empty if
  // it could not be recorded, so that it was not sent. kRecorded means that
  // its outcome is unknown and that ResolveOrders has to settle it.
  std::optional<OrderState> SubmitOrder(BackendOrder order);

  std::size_t unresolved_count() const { return unresolved_.size(); }
  // Newest resolved orders, oldest first.
  std::vector<JournalEntry> resolved() const;

 private:
  struct UnresolvedOrder {
    JournalEntry entry;
    RowVersion version;
    std::chrono::nanoseconds since;
    // Set once the outcome is known but not yet written.
    std::optional<OrderState> outcome;
  };

  bool LoadJournal();
  std::string NextOrderId();
  // Writes the order's row before sending. False if it may not be there.
  bool RecordOrder(const JournalEntry& entry);
  std::optional<OrderState> QueryOutcome(const UnresolvedOrder& unresolved);
  // Writes the outcome of an unresolved order; false if that has to be
  // repeated.
  bool RecordOutcome(UnresolvedOrder& unresolved);
  void LogOutcome(const JournalEntry& entry) const;

  TableStore& store_;
  BackendOrders& orders_;
  LeaseManager& lease_;
  const OrderJournalSettings settings_;
  const BootClock clock_;
  // The lease that the journal was loaded under; 0 for none.
  FencingToken loaded_token_;
  std::uint64_t last_order_number_ = 0;
  std::vector<UnresolvedOrder> unresolved_;
  std::deque<JournalEntry> resolved_;
};

}  // namespace bamboomount

#endif  // CONTROLLER_ORDER_JOURNAL_H_
