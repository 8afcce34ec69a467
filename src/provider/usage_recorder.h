#ifndef PROVIDER_USAGE_RECORDER_H_
#define PROVIDER_USAGE_RECORDER_H_

#include <array>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "base/base.h"
#include "provider/table_store.h"
#include "provider/usage_rows.h"
#include "provider/usage_window_settings.h"

namespace bamboomount {

// Counts the requests and tokens of each customer on a router and writes them
// to the table as one cumulative row for each window. Usage that was not
// written before its window closed is moved to the current window and counted
// as late. Thread-safe; Record takes one of several shard locks and never waits
// for the store.
class UsageRecorder {
 public:
  // Row keys contain the instance id and a random suffix, so that a restarted
  // instance does not overwrite the rows of its earlier process.
  UsageRecorder(TableStore& store,
                const InstanceId& instance,
                const UsageWindowSettings& settings,
                WallClock clock = std::chrono::system_clock::now);

  // Adds `used` to the current window.
  void Record(const CustomerId& customer, const UsageTotals& used);

  // Writes the totals that changed since the last call. Must be called every 5
  // s and before the process ends. Each store call takes at most `timeout`.
  // After an error, which is that of the store, the totals are kept for the
  // next call.
  Result<void> Flush(Millis timeout);

  // Usage that has been moved to a later window so far.
  UsageTotals late_total() const;
  // Identifies this process in row keys: instance id, '.' and random suffix.
  const std::string& writer() const { return writer_; }

 private:
  static constexpr std::size_t kShardCount = 16;

  struct Shard {
    std::mutex mutex;
    std::map<UsageWindow, CustomerUsage> counted;
  };
  // A window with totals that may not be written yet, or that is not final.
  struct PendingWindow {
    UsageRow row;
    RowVersion version;
    // Totals that the table is known to contain.
    CustomerUsage written;
    // Totals of the last write whose outcome is or was unknown.
    CustomerUsage in_flight;
    bool outcome_unknown = false;
    bool dirty = false;
  };
  enum class WriteState { kWritten, kRetry, kMoved };

  void CollectShards();
  Result<void> FlushWindow(UsageWindow window, Millis timeout);
  Result<WriteState> WriteWindow(UsageWindow window,
                                 PendingWindow& pending,
                                 Millis timeout);
  // Reads the stored row after a conflict or an unknown outcome, and moves the
  // unwritten usage to a later window if this one is closed.
  Result<WriteState> Reconcile(UsageWindow window,
                               PendingWindow& pending,
                               Millis timeout);
  void LoadStoredRow(UsageWindow window,
                     PendingWindow& pending,
                     const std::optional<Row>& row);
  void MoveUnwrittenUsage(UsageWindow window, const PendingWindow& pending);
  // Whether the window is older than the retention period. Such a window counts
  // as closed, and its row may have been deleted.
  bool IsPastRetention(UsageWindow window) const;

  TableStore& store_;
  const UsageWindowSettings settings_;
  const WallClock clock_;
  const std::string writer_;
  std::array<Shard, kShardCount> shards_;

  // Guards pending_windows_ and is held during store calls.
  std::mutex flush_mutex_;
  std::map<UsageWindow, PendingWindow> pending_windows_;

  mutable std::mutex late_mutex_;
  UsageTotals late_total_;
};

}  // namespace bamboomount

#endif  // PROVIDER_USAGE_RECORDER_H_
