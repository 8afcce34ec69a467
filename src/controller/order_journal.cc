#include "controller/order_journal.h"

#include <algorithm>
#include <utility>

#include "controller/events.h"
#include "telemetry/telemetry.h"

namespace bamboomount {
namespace {

constexpr char kOrderPrefix[] = "order/";
// Numbers of digits of the token and of the number in an id. Both are padded
// with zeros, so that key order is time order.
constexpr std::size_t kTokenDigits = 20;
constexpr std::size_t kNumberDigits = 12;

std::string ZeroPadded(std::uint64_t number, std::size_t width) {
  const std::string digits = std::to_string(number);
  return std::string(width - std::min(width, digits.size()), '0') + digits;
}

std::string OrderKey(const BackendOrder& order) {
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

bool OrderJournal::ResolveOrders() {
  if (!lease_.holds())
    return false;
  if (loaded_token_ != lease_.token() && !LoadJournal())
    return false;
  std::vector<UnresolvedOrder> remaining;
  for (UnresolvedOrder& unresolved : unresolved_) {
    if (!unresolved.outcome)
      unresolved.outcome = QueryOutcome(unresolved);
    if (!unresolved.outcome || !RecordOutcome(unresolved))
      remaining.push_back(std::move(unresolved));
  }
  unresolved_ = std::move(remaining);
  return unresolved_.empty();
}

std::optional<OrderState> OrderJournal::SubmitOrder(BackendOrder order) {
  if (!lease_.holds() || loaded_token_ != lease_.token() ||
      !unresolved_.empty())
    return std::nullopt;
  order.order_id = NextOrderId();
  order.fencing_token = lease_.token();
  const JournalEntry entry{order, OrderState::kRecorded};
  if (!RecordOrder(entry))
    return std::nullopt;
  UnresolvedOrder unresolved{entry, RowVersion(1), clock_(), std::nullopt};
  // The lease guard covers a pause between this check and the end of the call.
  if (lease_.HoldsFor(settings_.order_timeout)) {
    const auto sent = orders_.Submit(order, settings_.order_timeout);
    if (sent) {
      unresolved.outcome = OrderState::kAccepted;
    } else if (sent.error().verdict == RunVerdict::kNotRun) {
      unresolved.outcome = OrderState::kRefused;
    }
    if (!sent && sent.error().code == ErrorCode::kConflict)
      lease_.StepDown();
  } else {
    unresolved.outcome = OrderState::kRefused;
  }
  const OrderState state = unresolved.outcome.value_or(OrderState::kRecorded);
  if (state == OrderState::kRecorded)
    Log(events::kOrderUnresolved, {{"order_id", order.order_id}});
  if (!unresolved.outcome || !RecordOutcome(unresolved))
    unresolved_.push_back(std::move(unresolved));
  return state;
}

std::vector<JournalEntry> OrderJournal::resolved() const {
  return {resolved_.begin(), resolved_.end()};
}

bool OrderJournal::LoadJournal() {
  const FencingToken token = lease_.token();
  const auto rows = store_.Scan(kOrderPrefix, settings_.store_timeout);
  if (!rows)
    return false;
  unresolved_.clear();
  resolved_.clear();
  for (const Row& row : rows.value()) {
    auto entry = JournalEntry::Parse(row.value);
    if (!entry) {
      Log(events::kMalformedRow, {{"key", row.key}});
      continue;
    }
    if (entry->state == OrderState::kRecorded) {
      unresolved_.push_back(
          {std::move(*entry), row.version, clock_(), std::nullopt});
      continue;
    }
    resolved_.push_back(std::move(*entry));
  }
  loaded_token_ = token;
  last_order_number_ = 0;
  return true;
}

std::string OrderJournal::NextOrderId() {
  return ZeroPadded(lease_.token().value(), kTokenDigits) + "-" +
         ZeroPadded(++last_order_number_, kNumberDigits);
}

bool OrderJournal::RecordOrder(const JournalEntry& entry) {
  const std::string key = OrderKey(entry.order);
  const auto outcome = lease_.CommitAsHolder(
      Transaction().ExpectAbsent(key).Put(key, entry.ToText()),
      settings_.store_timeout);
  if (outcome)
    return outcome.value() == CommitOutcome::kCommitted;
  if (outcome.error().verdict == RunVerdict::kNotRun)
    return false;
  // If the commit takes effect only after this read, the row stays unresolved;
  // the next holder then finds that the platform has not received the order.
  const auto row = store_.Read(key, settings_.store_timeout);
  return row && row.value();
}

std::optional<OrderState> OrderJournal::QueryOutcome(
    const UnresolvedOrder& unresolved) {
  const auto found =
      orders_.Find(unresolved.entry.order.order_id, settings_.order_timeout);
  if (!found)
    return std::nullopt;
  if (found.value())
    return OrderState::kAccepted;
  if (clock_() - unresolved.since < settings_.resolve_timeout)
    return std::nullopt;
  return OrderState::kAbandoned;
}

bool OrderJournal::RecordOutcome(UnresolvedOrder& unresolved) {
  JournalEntry resolved = unresolved.entry;
  resolved.state = *unresolved.outcome;
  const std::string key = OrderKey(resolved.order);
  Transaction transaction;
  transaction.Expect(key, unresolved.version).Put(key, resolved.ToText());
  const bool full = resolved_.size() >= settings_.retained_orders;
  if (full)
    transaction.Delete(OrderKey(resolved_.front().order));
  const auto outcome =
      lease_.CommitAsHolder(std::move(transaction), settings_.store_timeout);
  const bool committed =
      outcome && outcome.value() == CommitOutcome::kCommitted;
  if (!committed) {
    // The write may nevertheless have taken effect, or the lease row may have
    // changed, so the row is read to find out.
    const auto row = store_.Read(key, settings_.store_timeout);
    if (!row || !row.value())
      return false;
    const auto stored = JournalEntry::Parse(row.value()->value);
    unresolved.version = row.value()->version;
    if (!stored || stored->state != resolved.state)
      return false;
  }
  if (full)
    resolved_.pop_front();
  LogOutcome(resolved);
  resolved_.push_back(std::move(resolved));
  return true;
}

void OrderJournal::LogOutcome(const JournalEntry& entry) const {
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
