#include "controller/usage_sealer.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "controller/events.h"
#include "controller/internal/restore_row.h"
#include "telemetry/telemetry.h"

namespace bamboomount {
namespace {

// Key of the row that holds the number of the oldest window that is not
// reported.
constexpr char kProgressKey[] = "usage-progress";
constexpr char kUsageRowsPrefix[] = "usage/";

std::optional<UsageWindow> ParseWindow(const std::string& text) {
  std::int64_t number = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (parsed.ec != std::errc())
    return std::nullopt;
  return UsageWindow(number);
}

bool IsCommitted(const Result<CommitOutcome>& outcome) {
  return outcome && outcome.value() == CommitOutcome::kCommitted;
}

}  // namespace

UsageSealer::UsageSealer(TableStore& store,
                         UsageReports& reports,
                         LeaseManager& lease,
                         const UsageSealerSettings& settings,
                         WallClock clock)
    : store_(store),
      reports_(reports),
      lease_(lease),
      settings_(settings),
      clock_(std::move(clock)) {}

bool UsageSealer::Step() {
  if (!lease_.holds())
    return false;
  if ((!progress_ || progress_->token != lease_.token()) && !LoadProgress())
    return false;
  const auto& windows = settings_.windows;
  if (clock_() < windows.EndOf(progress_->window) + windows.close_delay)
    return false;
  if (!progress_->sealed && !PrepareTotals())
    return false;
  return ReportWindow() && FinishWindow();
}

std::optional<UsageWindow> UsageSealer::next_window() const {
  if (!progress_)
    return std::nullopt;
  return progress_->window;
}

bool UsageSealer::LoadProgress() {
  const FencingToken token = lease_.token();
  std::optional<UsageWindow> sealed_through;
  if (!LoadSealedThrough(sealed_through))
    return false;
  const auto read = store_.ReadWithEra(kProgressKey, settings_.store_timeout);
  if (!read || read.value().era != lease_.era())
    return false;
  const std::optional<Row>& row = read.value().value;
  const auto window = row ? ParseWindow(row->value) : FirstUnreportedWindow();
  if (!window)
    return false;
  progress_ = Progress{token, *window, sealed_through, std::nullopt, 0};
  return true;
}

bool UsageSealer::LoadSealedThrough(
    std::optional<UsageWindow>& sealed_through) {
  const StoreEra era = lease_.era();
  if (era == StoreEra())
    return true;
  const auto read =
      store_.ReadWithEra(internal::kRestoreKey, settings_.store_timeout);
  if (!read || read.value().era != era)
    return false;
  if (read.value().value) {
    const auto known = internal::RestoreRow::Parse(read.value().value->value);
    if (known && known->era == era) {
      sealed_through = known->sealed_through;
      return true;
    }
  }
  sealed_through = NewestDueWindow();
  const internal::RestoreRow row{era, *sealed_through};
  return IsCommitted(lease_.CommitAsHolder(
      Transaction().Put(internal::kRestoreKey, row.ToText()),
      settings_.store_timeout));
}

UsageWindow UsageSealer::NewestDueWindow() const {
  const auto& windows = settings_.windows;
  return windows.WindowAt(clock_() - windows.close_delay) - UsageWindow(1);
}

bool UsageSealer::PrepareTotals() {
  if (!CloseWindow())
    return false;
  if (progress_->sealed_through &&
      progress_->window <= *progress_->sealed_through) {
    return LoadSealFromCopy();
  }
  return SealWindow();
}

bool UsageSealer::LoadSealFromCopy() {
  const auto read = store_.ReadWithEra(UsageSealedKey(progress_->window),
                                       settings_.store_timeout);
  if (!read || read.value().era != lease_.era())
    return false;
  progress_->reported = 0;
  if (!read.value().value) {
    Log(events::kWindowPassedOver,
        {{"window", std::to_string(progress_->window.value())}});
    progress_->sealed = SealedUsage();
    return true;
  }
  progress_->sealed = SealedUsage::Parse(read.value().value->value);
  if (!progress_->sealed)
    Log(events::kMalformedRow, {{"key", read.value().value->key}});
  return progress_->sealed.has_value();
}

// Called if there is no progress row, so nothing has been reported yet, or the
// table was restored from before the first report. Routers
// may still write to any window within the retention period, so all of these
// windows are included.
std::optional<UsageWindow> UsageSealer::FirstUnreportedWindow() {
  const auto rows = store_.Scan(kUsageRowsPrefix, settings_.store_timeout);
  if (!rows)
    return std::nullopt;
  const auto& windows = settings_.windows;
  const UsageWindow first = std::max(
      UsageWindow(0), windows.WindowAt(clock_()) -
                          UsageWindow(windows.row_retention_windows + 1));
  if (rows.value().empty())
    return first;
  const std::string& key = rows.value().front().key;
  const auto oldest = ParseWindow(key.substr(std::size(kUsageRowsPrefix) - 1));
  return std::min(first, oldest.value_or(first));
}

bool UsageSealer::CloseWindow() {
  const std::string key = UsageClosedKey(progress_->window);
  const auto outcome =
      lease_.CommitAsHolder(Transaction().ExpectAbsent(key).Put(
                                key, std::to_string(progress_->token.value())),
                            settings_.store_timeout);
  if (IsCommitted(outcome))
    return true;
  // This holder or an earlier one may have closed the window already.
  const auto row = store_.Read(key, settings_.store_timeout);
  return row && row.value();
}

bool UsageSealer::SealWindow() {
  auto sum = SumRows();
  if (!sum)
    return false;
  const std::string key = UsageSealedKey(progress_->window);
  const auto outcome = lease_.CommitAsHolder(
      Transaction().ExpectAbsent(key).Put(key, sum->ToText()),
      settings_.store_timeout);
  // The row that exists in the table is valid, whichever holder wrote it.
  progress_->sealed = IsCommitted(outcome) ? std::move(sum) : ReadSealed();
  if (!progress_->sealed)
    return false;
  progress_->reported = 0;
  const SealedUsage& sealed = *progress_->sealed;
  Log(events::kWindowSealed,
      {{"window", std::to_string(progress_->window.value())},
       {"customers", std::to_string(sealed.customers.size())},
       {"writers", std::to_string(sealed.writers)},
       {"unfinished_writers", std::to_string(sealed.unfinished_writers)},
       {"late_requests", std::to_string(sealed.late.requests)}});
  return true;
}

std::optional<SealedUsage> UsageSealer::SumRows() {
  const auto rows =
      store_.Scan(UsageRowPrefix(progress_->window), settings_.store_timeout);
  if (!rows)
    return std::nullopt;
  SealedUsage sum;
  for (const Row& row : rows.value()) {
    const auto parsed = UsageRow::Parse(row.value);
    if (!parsed) {
      Log(events::kMalformedRow, {{"key", row.key}});
      continue;
    }
    sum.Add(*parsed);
  }
  return sum;
}

std::optional<SealedUsage> UsageSealer::ReadSealed() {
  const auto row =
      store_.Read(UsageSealedKey(progress_->window), settings_.store_timeout);
  if (!row || !row.value())
    return std::nullopt;
  auto sealed = SealedUsage::Parse(row.value()->value);
  if (!sealed)
    Log(events::kMalformedRow, {{"key", row.value()->key}});
  return sealed;
}

bool UsageSealer::ReportWindow() {
  const auto& customers = progress_->sealed->customers;
  auto it = std::next(customers.begin(),
                      static_cast<std::ptrdiff_t>(progress_->reported));
  for (int sent = 0; it != customers.end(); ++it, ++sent) {
    if (sent == settings_.max_reports_per_step)
      return false;
    lease_.Step();
    if (lease_.token() != progress_->token ||
        !lease_.HoldsFor(settings_.report_timeout)) {
      return false;
    }
    const auto& [customer, totals] = *it;
    const auto outcome = reports_.Submit(
        {progress_->window, customer, totals.requests, totals.prompt_tokens,
         totals.output_tokens, progress_->token},
        settings_.report_timeout);
    if (!outcome) {
      Log(events::kReportFailed,
          {{"window", std::to_string(progress_->window.value())},
           {"customer", customer.value()},
           {"reason", outcome.error().message}});
      if (outcome.error().code == ErrorCode::kConflict)
        lease_.StepDown();
      return false;
    }
    ++progress_->reported;
  }
  return true;
}

bool UsageSealer::FinishWindow() {
  const UsageWindow window = progress_->window;
  const auto& windows = settings_.windows;
  Transaction transaction;
  transaction.Put(kProgressKey, std::to_string(window.value() + 1));
  const UsageWindow expired_rows =
      window - UsageWindow(windows.row_retention_windows);
  const UsageWindow expired_seal =
      window - UsageWindow(windows.seal_retention_windows);
  if (!AddDeletions(UsageRowPrefix(expired_rows), transaction))
    return false;
  transaction.Delete(UsageClosedKey(expired_seal))
      .Delete(UsageSealedKey(expired_seal));
  const auto outcome =
      lease_.CommitAsHolder(std::move(transaction), settings_.store_timeout);
  if (!IsCommitted(outcome)) {
    // The next step loads the progress again, which shows whether the write
    // took effect. If it did not, the sealed totals are read and sent again.
    progress_.reset();
    return false;
  }
  Log(events::kWindowReported, {{"window", std::to_string(window.value())}});
  progress_ = Progress{progress_->token, window + UsageWindow(1),
                       progress_->sealed_through, std::nullopt, 0};
  return true;
}

bool UsageSealer::AddDeletions(const std::string& prefix,
                               Transaction& transaction) {
  const auto rows = store_.Scan(prefix, settings_.store_timeout);
  if (!rows)
    return false;
  for (const Row& row : rows.value())
    transaction.Delete(row.key);
  return true;
}

}  // namespace bamboomount
