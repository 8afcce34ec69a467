#include "provider/usage_recorder.h"

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

#include "provider/events.h"
#include "telemetry/telemetry.h"

namespace bamboomount {
namespace {

constexpr std::size_t kSuffixBytes = 4;
// A write conflicts at most once with a late write of this process and once
// with the close of the window; more attempts in one flush gain nothing.
constexpr int kWriteAttempts = 3;

CustomerUsage Difference(const CustomerUsage& counted,
                         const CustomerUsage& written) {
  CustomerUsage rest;
  for (const auto& [customer, figures] : counted) {
    UsageFigures left = figures;
    const auto found = written.find(customer);
    if (found != written.end())
      left -= found->second;
    if (left != UsageFigures())
      rest.emplace(customer, left);
  }
  return rest;
}

}  // namespace

UsageRecorder::UsageRecorder(TableStore& store,
                             const InstanceId& instance,
                             const UsageWindowSettings& settings,
                             WallClock clock)
    : store_(store),
      settings_(settings),
      clock_(std::move(clock)),
      writer_(instance.value() + "." + RandomHex(kSuffixBytes)) {}

void UsageRecorder::Record(const CustomerId& customer,
                           const UsageFigures& used) {
  const UsageWindow window = settings_.WindowAt(clock_());
  Shard& shard = shards_[std::hash<CustomerId>{}(customer) % kShardCount];
  const std::lock_guard lock(shard.mutex);
  shard.counted[window][customer] += used;
}

Result<void> UsageRecorder::Flush(Millis timeout) {
  const std::lock_guard lock(flush_mutex_);
  Collect();
  // Moving late usage adds windows after the one at hand only, so the loop
  // sees them.
  auto next = books_.begin();
  while (next != books_.end()) {
    const UsageWindow window = next->first;
    BOOST_OUTCOME_TRYV(FlushWindow(window, timeout));
    next = books_.upper_bound(window);
  }
  return Success();
}

UsageFigures UsageRecorder::late_total() const {
  const std::lock_guard lock(late_mutex_);
  return late_total_;
}

void UsageRecorder::Collect() {
  for (Shard& shard : shards_) {
    std::map<UsageWindow, CustomerUsage> counted;
    {
      const std::lock_guard lock(shard.mutex);
      counted.swap(shard.counted);
    }
    for (const auto& [window, customers] : counted) {
      Book& book = books_[window];
      book.dirty = true;
      for (const auto& [customer, figures] : customers)
        book.row.customers[customer] += figures;
    }
  }
}

Result<void> UsageRecorder::FlushWindow(UsageWindow window, Millis timeout) {
  Book& book = books_[window];
  const bool over = clock_() >= settings_.EndOf(window);
  if (over && !book.row.final) {
    book.row.final = true;
    book.dirty = true;
  }
  WriteState state = WriteState::kRetry;
  if (book.outcome_unknown || IsTooOld(window)) {
    BOOST_OUTCOME_TRY(resolved, Resolve(window, book, timeout));
    state = resolved;
  }
  for (int i = 0; i < kWriteAttempts && state == WriteState::kRetry; ++i) {
    if (!book.dirty)
      break;
    BOOST_OUTCOME_TRY(written, Write(window, book, timeout));
    state = written;
  }
  if (state == WriteState::kMoved || (over && !book.dirty))
    books_.erase(window);
  return Success();
}

Result<UsageRecorder::WriteState> UsageRecorder::Write(UsageWindow window,
                                                       Book& book,
                                                       Millis timeout) {
  const std::string key = UsageRowKey(window, writer_);
  const auto outcome = store_.Commit(Transaction()
                                         .ExpectAbsent(UsageClosedKey(window))
                                         .Expect(key, book.version)
                                         .Put(key, book.row.ToText()),
                                     timeout);
  if (!outcome) {
    if (outcome.error().verdict == RunVerdict::kMayHaveRun) {
      book.outcome_unknown = true;
      book.in_flight = book.row.customers;
    }
    return outcome.error();
  }
  if (outcome.value() == CommitOutcome::kConflict)
    return Resolve(window, book, timeout);
  book.version += RowVersion(1);
  book.written = book.row.customers;
  book.dirty = false;
  return WriteState::kWritten;
}

Result<UsageRecorder::WriteState> UsageRecorder::Resolve(UsageWindow window,
                                                         Book& book,
                                                         Millis timeout) {
  // The close is read first: once it is there, the row cannot change.
  bool closed = IsTooOld(window);
  if (!closed) {
    BOOST_OUTCOME_TRY(marker, store_.Read(UsageClosedKey(window), timeout));
    closed = marker.has_value();
  }
  BOOST_OUTCOME_TRY(row, store_.Read(UsageRowKey(window, writer_), timeout));
  AdoptRow(window, book, row);
  if (!closed)
    return WriteState::kRetry;
  MoveUnwritten(window, book);
  return WriteState::kMoved;
}

void UsageRecorder::AdoptRow(UsageWindow window,
                             Book& book,
                             const std::optional<Row>& row) {
  const bool unknown = std::exchange(book.outcome_unknown, false);
  if (row) {
    const auto parsed = UsageRow::Parse(row->value);
    if (!parsed)
      Log(events::kUsageRowMalformed, {{"key", row->key}});
    book.version = row->version;
    book.written = parsed ? parsed->customers : book.row.customers;
    return;
  }
  // Without a row, either none was ever written or retention deleted it after
  // the window was reported. In the second case a write with unknown outcome
  // may have counted, and counting it again would charge a customer twice.
  if (unknown && IsTooOld(window)) {
    Log(events::kUsageAmbiguous);
    book.written = book.in_flight;
  }
}

void UsageRecorder::MoveUnwritten(UsageWindow window, const Book& book) {
  const CustomerUsage rest = Difference(book.row.customers, book.written);
  if (rest.empty())
    return;
  const UsageWindow target =
      std::max(settings_.WindowAt(clock_()), window + UsageWindow(1));
  Book& next = books_[target];
  next.dirty = true;
  UsageFigures moved;
  for (const auto& [customer, figures] : rest) {
    next.row.customers[customer] += figures;
    moved += figures;
  }
  next.row.late += moved;
  const std::lock_guard lock(late_mutex_);
  late_total_ += moved;
  Log(events::kUsageLate,
      {{"window", std::to_string(window.value())},
       {"requests", std::to_string(moved.requests)},
       {"output_tokens", std::to_string(moved.output_tokens.value())}});
}

bool UsageRecorder::IsTooOld(UsageWindow window) const {
  return window + UsageWindow(settings_.row_retention_windows) <
         settings_.WindowAt(clock_());
}

}  // namespace bamboomount
