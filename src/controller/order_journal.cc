#include "controller/order_journal.h"

#include <algorithm>
#include <utility>

#include "controller/events.h"
#include "telemetry/telemetry.h"

namespace bamboomount {
namespace {

constexpr char kOrderPrefix[] = "order/";
// Digits of token and number in an id, so that key order is time order.
constexpr std::size_t kIdDigits = 12;

std::string Padded(std::uint64_t number) {
  const std::string digits = std::to_string(number);
  return std::string(kIdDigits - std::min(kIdDigits, digits.size()), '0') +
         digits;
}

std::string KeyOf(const BackendOrder& order) {
  return kOrderPrefix + order.order_id;
}

}  // namespace

OrderJournal::OrderJournal(TableStore& store,
                           BackendOrders& orders,
                           LeaseManager& lease,
                           const OrderJournalSettings& settings,
                           BootClock clock)
    : store_(store),
      orders_(orders),
      lease_(lease),
      settings_(settings),
      clock_(std::move(clock)) {}

bool OrderJournal::Resolve() {
  if (!lease_.holds())
    return false;
  if (loaded_for_ != lease_.token() && !Load())
    return false;
  std::vector<Open> remaining;
  for (Open& open : open_) {
    if (!open.fate)
      open.fate = FindFate(open);
    if (!open.fate || !Settle(open))
      remaining.push_back(std::move(open));
  }
  open_ = std::move(remaining);
  return open_.empty();
}

std::optional<OrderState> OrderJournal::Submit(BackendOrder order) {
  if (!lease_.holds() || loaded_for_ != lease_.token() || !open_.empty())
    return std::nullopt;
  order.order_id = NextId();
  order.fencing_token = lease_.token();
  const JournalEntry entry{order, OrderState::kRecorded};
  if (!Record(entry))
    return std::nullopt;
  Open open{entry, RowVersion(1), clock_(), std::nullopt};
  // Between this check and the end of the call the lease guard protects.
  if (lease_.HoldsFor(settings_.order_timeout)) {
    const auto sent = orders_.Submit(order, settings_.order_timeout);
    if (sent) {
      open.fate = OrderState::kAccepted;
    } else if (sent.error().verdict == RunVerdict::kNotRun) {
      open.fate = OrderState::kRefused;
    }
    if (!sent && sent.error().code == ErrorCode::kConflict)
      lease_.StepDown();
  } else {
    open.fate = OrderState::kRefused;
  }
  const OrderState state = open.fate.value_or(OrderState::kRecorded);
  if (state == OrderState::kRecorded)
    Log(events::kOrderUnresolved, {{"order_id", order.order_id}});
  if (!open.fate || !Settle(open))
    open_.push_back(std::move(open));
  return state;
}

std::vector<JournalEntry> OrderJournal::settled() const {
  return {settled_.begin(), settled_.end()};
}

bool OrderJournal::Load() {
  const FencingToken token = lease_.token();
  const auto rows = store_.Scan(kOrderPrefix, settings_.store_timeout);
  if (!rows)
    return false;
  open_.clear();
  settled_.clear();
  for (const Row& row : rows.value()) {
    auto entry = JournalEntry::Parse(row.value);
    if (!entry) {
      Log(events::kMalformedRow, {{"key", row.key}});
      continue;
    }
    if (entry->state == OrderState::kRecorded) {
      open_.push_back({std::move(*entry), row.version, clock_(), std::nullopt});
      continue;
    }
    settled_.push_back(std::move(*entry));
  }
  loaded_for_ = token;
  last_number_ = 0;
  return true;
}

std::string OrderJournal::NextId() {
  return Padded(lease_.token().value()) + "-" + Padded(++last_number_);
}

bool OrderJournal::Record(const JournalEntry& entry) {
  const std::string key = KeyOf(entry.order);
  const auto outcome = lease_.CommitAsHolder(
      Transaction().ExpectAbsent(key).Put(key, entry.ToText()),
      settings_.store_timeout);
  if (outcome)
    return outcome.value() == CommitOutcome::kCommitted;
  if (outcome.error().verdict == RunVerdict::kNotRun)
    return false;
  // If the row arrives only after this read, the next holder finds that the
  // platform does not know the order.
  const auto row = store_.Read(key, settings_.store_timeout);
  return row && row.value();
}

std::optional<OrderState> OrderJournal::FindFate(const Open& open) {
  const auto found =
      orders_.Find(open.entry.order.order_id, settings_.order_timeout);
  if (!found)
    return std::nullopt;
  if (found.value())
    return OrderState::kAccepted;
  if (clock_() - open.since < settings_.settle_time)
    return std::nullopt;
  return OrderState::kAbandoned;
}

bool OrderJournal::Settle(Open& open) {
  JournalEntry settled = open.entry;
  settled.state = *open.fate;
  const std::string key = KeyOf(settled.order);
  Transaction transaction;
  transaction.Expect(key, open.version).Put(key, settled.ToText());
  const bool full = settled_.size() >= settings_.kept_orders;
  if (full)
    transaction.Delete(KeyOf(settled_.front().order));
  const auto outcome =
      lease_.CommitAsHolder(std::move(transaction), settings_.store_timeout);
  const bool committed =
      outcome && outcome.value() == CommitOutcome::kCommitted;
  if (!committed) {
    // The write may have taken effect all the same, or the lease row may have
    // changed; the row tells.
    const auto row = store_.Read(key, settings_.store_timeout);
    if (!row || !row.value())
      return false;
    const auto stored = JournalEntry::Parse(row.value()->value);
    open.version = row.value()->version;
    if (!stored || stored->state != settled.state)
      return false;
  }
  if (full)
    settled_.pop_front();
  LogFate(settled);
  settled_.push_back(std::move(settled));
  return true;
}

void OrderJournal::LogFate(const JournalEntry& entry) const {
  const LogEvent& event =
      entry.state == OrderState::kAccepted  ? events::kOrderAccepted
      : entry.state == OrderState::kRefused ? events::kOrderRefused
                                            : events::kOrderAbandoned;
  Log(event, {{"order_id", entry.order.order_id},
              {"zone", entry.order.zone.value()},
              {"pool", entry.order.pool.value()},
              {"count", std::to_string(entry.order.count)}});
}

}  // namespace bamboomount
