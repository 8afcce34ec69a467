#include "provider/usage_recorder.h"

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

#include "provider/events.h"
#include "telemetry/telemetry.h"

namespace bamboomount {
namespace {

constexpr std::size_t kWriterSuffixBytes = 4;
// A write conflicts at most once with a late write of this process and once
// with the close of the window; more attempts in one flush gain nothing.
constexpr int kMaxWriteAttempts = 3;

CustomerUsage UnwrittenUsage(const CustomerUsage& counted,
                             const CustomerUsage& written) {
  CustomerUsage unwritten;
  for (const auto& [customer, totals] : counted) {
    UsageTotals remaining = totals;
    const auto found = written.find(customer);
    if (found != written.end())
      remaining -= found->second;
    if (remaining != UsageTotals())
      unwritten.emplace(customer, remaining);
  }
  return unwritten;
}

}  // namespace

UsageRecorder::UsageRecorder(TableStore& store,
                             const InstanceId& instance,
                             const UsageWindowSettings& settings,
                             WallClock clock)
    : store_(store),
      settings_(settings),
      clock_(std::move(clock)),
      writer_(instance.value() + "." + RandomHex(kWriterSuffixBytes)) {}

void UsageRecorder::Record(const CustomerId& customer,
                           const UsageTotals& used) {
  const UsageWindow window = settings_.WindowAt(clock_());
  Shard& shard = shards_[std::hash<CustomerId>{}(customer) % kShardCount];
  const std::lock_guard lock(shard.mutex);
  shard.counted[window][customer] += used;
}

Result<void> UsageRecorder::Flush(Millis timeout) {
  const std::lock_guard lock(flush_mutex_);
  CollectShards();
  // Moving late usage adds windows after the one at hand only, so the loop
  // sees them.
  auto next = pending_windows_.begin();
  while (next != pending_windows_.end()) {
    const UsageWindow window = next->first;
    BOOST_OUTCOME_TRYV(FlushWindow(window, timeout));
    next = pending_windows_.upper_bound(window);
  }
  return Success();
}

UsageTotals UsageRecorder::late_total() const {
  const std::lock_guard lock(late_mutex_);
  return late_total_;
}

void UsageRecorder::CollectShards() {
  for (Shard& shard : shards_) {
    std::map<UsageWindow, CustomerUsage> counted;
    {
      const std::lock_guard lock(shard.mutex);
      counted.swap(shard.counted);
    }
    for (const auto& [window, customers] : counted) {
      PendingWindow& pending = pending_windows_[window];
      pending.dirty = true;
      for (const auto& [customer, totals] : customers)
        pending.row.customers[customer] += totals;
    }
  }
}

Result<void> UsageRecorder::FlushWindow(UsageWindow window, Millis timeout) {
  PendingWindow& pending = pending_windows_[window];
  const bool ended = clock_() >= settings_.EndOf(window);
  if (ended && !pending.row.final) {
    pending.row.final = true;
    pending.dirty = true;
  }
  WriteState state = WriteState::kRetry;
  if (pending.outcome_unknown || IsPastRetention(window)) {
    BOOST_OUTCOME_TRY(resolved, Reconcile(window, pending, timeout));
    state = resolved;
  }
  for (int i = 0; i < kMaxWriteAttempts && state == WriteState::kRetry; ++i) {
    if (!pending.dirty)
      break;
    BOOST_OUTCOME_TRY(written, WriteWindow(window, pending, timeout));
    state = written;
  }
  if (state == WriteState::kMoved || (ended && !pending.dirty))
    pending_windows_.erase(window);
  return Success();
}

Result<UsageRecorder::WriteState> UsageRecorder::WriteWindow(
    UsageWindow window,
    PendingWindow& pending,
    Millis timeout) {
  const std::string key = UsageRowKey(window, writer_);
  const auto outcome = store_.Commit(Transaction()
                                         .ExpectAbsent(UsageClosedKey(window))
                                         .Expect(key, pending.version)
                                         .Put(key, pending.row.ToText()),
                                     timeout);
  if (!outcome) {
    if (outcome.error().verdict == RunVerdict::kMayHaveRun) {
      pending.outcome_unknown = true;
      pending.in_flight = pending.row.customers;
    }
    return outcome.error();
  }
  if (outcome.value() == CommitOutcome::kConflict)
    return Reconcile(window, pending, timeout);
  pending.version += RowVersion(1);
  pending.written = pending.row.customers;
  pending.dirty = false;
  return WriteState::kWritten;
}

Result<UsageRecorder::WriteState> UsageRecorder::Reconcile(
    UsageWindow window,
    PendingWindow& pending,
    Millis timeout) {
  // The close is read first: once it is there, the row cannot change.
  bool closed = IsPastRetention(window);
  if (!closed) {
    BOOST_OUTCOME_TRY(marker, store_.Read(UsageClosedKey(window), timeout));
    closed = marker.has_value();
  }
  BOOST_OUTCOME_TRY(row, store_.Read(UsageRowKey(window, writer_), timeout));
  LoadStoredRow(window, pending, row);
  if (!closed)
    return WriteState::kRetry;
  MoveUnwrittenUsage(window, pending);
  return WriteState::kMoved;
}

void UsageRecorder::LoadStoredRow(UsageWindow window,
                                  PendingWindow& pending,
                                  const std::optional<Row>& row) {
  const bool unknown = std::exchange(pending.outcome_unknown, false);
  if (row) {
    const auto parsed = UsageRow::Parse(row->value);
    if (!parsed)
      Log(events::kUsageRowMalformed, {{"key", row->key}});
    pending.version = row->version;
    pending.written = parsed ? parsed->customers : pending.row.customers;
    return;
  }
  // Without a row, either none was ever written or retention deleted it after
  // the window was reported. In the second case a write with unknown outcome
  // may have counted, and counting it again would charge a customer twice.
  if (unknown && IsPastRetention(window)) {
    Log(events::kUsageAmbiguous);
    pending.written = pending.in_flight;
  }
}

void UsageRecorder::MoveUnwrittenUsage(UsageWindow window,
                                       const PendingWindow& pending) {
  const CustomerUsage unwritten =
      UnwrittenUsage(pending.row.customers, pending.written);
  if (unwritten.empty())
    return;
  const UsageWindow target =
      std::max(settings_.WindowAt(clock_()), window + UsageWindow(1));
  PendingWindow& next = pending_windows_[target];
  next.dirty = true;
  UsageTotals moved;
  for (const auto& [customer, totals] : unwritten) {
    next.row.customers[customer] += totals;
    moved += totals;
  }
  next.row.late += moved;
  const std::lock_guard lock(late_mutex_);
  late_total_ += moved;
  Log(events::kUsageLate,
      {{"window", std::to_string(window.value())},
       {"requests", std::to_string(moved.requests)},
       {"output_tokens", std::to_string(moved.output_tokens.value())}});
}

bool UsageRecorder::IsPastRetention(UsageWindow window) const {
  return window + UsageWindow(settings_.row_retention_windows) <
         settings_.WindowAt(clock_());
}

}  // namespace bamboomount
