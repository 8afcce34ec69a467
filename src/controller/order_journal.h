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
  Millis settle_time{6000};
  // Settled orders that are kept for operators and strategies.
  std::size_t kept_orders = 64;
};

// Records each order before it is sent and finds out what became of orders
// whose fate is unknown. Used from one thread, that of the lease.
class OrderJournal {
 public:
  OrderJournal(TableStore& store,
               BackendOrders& orders,
               LeaseManager& lease,
               const OrderJournalSettings& settings,
               BootClock clock = BootTimeNow);

  // Loads the journal after a change of holder and asks the platform about
  // orders whose fate is unknown. True if there is none left: only then may a
  // new order be sent.
  bool Resolve();

  // Records and sends one order; fills in its id and fencing token. Empty if
  // it could not be recorded, so that it was not sent. kRecorded means that
  // its fate is unknown and that Resolve has to settle it.
  std::optional<OrderState> Submit(BackendOrder order);

  std::size_t open_count() const { return open_.size(); }
  // Newest settled orders, oldest first.
  std::vector<JournalEntry> settled() const;

 private:
  struct Open {
    JournalEntry entry;
    RowVersion version;
    std::chrono::nanoseconds since;
    // Set once the fate is known but not yet written.
    std::optional<OrderState> fate;
  };

  bool Load();
  std::string NextId();
  // Writes the order's row before sending. False if it may not be there.
  bool Record(const JournalEntry& entry);
  std::optional<OrderState> FindFate(const Open& open);
  // Writes the fate of an open order; false if that has to be repeated.
  bool Settle(Open& open);
  void LogFate(const JournalEntry& entry) const;

  TableStore& store_;
  BackendOrders& orders_;
  LeaseManager& lease_;
  const OrderJournalSettings settings_;
  const BootClock clock_;
  // The lease that the journal was loaded under; 0 for none.
  FencingToken loaded_for_;
  std::uint64_t last_number_ = 0;
  std::vector<Open> open_;
  std::deque<JournalEntry> settled_;
};

}  // namespace bamboomount

#endif  // CONTROLLER_ORDER_JOURNAL_H_
