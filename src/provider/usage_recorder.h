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

// Counts requests and tokens for each customer on a router and writes them to
// the table, one cumulative row for each window. Usage of a window that was
// closed before it was written goes to the current window and is counted as
// late. Thread-safe; counting takes one of several locks and never waits for
// the store.
class UsageRecorder {
 public:
  // A row belongs to one process: the id gets a random suffix, so that a
  // restarted instance does not overwrite what it wrote before.
  UsageRecorder(TableStore& store,
                const InstanceId& instance,
                const UsageWindowSettings& settings,
                WallClock clock = std::chrono::system_clock::now);

  void Record(const CustomerId& customer, const UsageTotals& used);

  // Writes what changed since the last call; call it every 5 s and before the
  // process ends. Each store call takes at most `timeout`. After an error the
  // figures are kept for the next call.
  Result<void> Flush(Millis timeout);

  // Usage that went to a later window so far.
  UsageTotals late_total() const;
  // Name of this process in row keys.
  const std::string& writer() const { return writer_; }

 private:
  static constexpr std::size_t kShardCount = 16;

  struct Shard {
    std::mutex mutex;
    std::map<UsageWindow, CustomerUsage> counted;
  };
  // One window that is not completely written.
  struct PendingWindow {
    UsageRow row;
    RowVersion version;
    // What the table is known to hold.
    CustomerUsage written;
    // The last write sent, if its outcome is unknown.
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
  // After a conflict or an unknown outcome: learns what the table holds.
  Result<WriteState> Reconcile(UsageWindow window,
                               PendingWindow& pending,
                               Millis timeout);
  void LoadStoredRow(UsageWindow window,
                     PendingWindow& pending,
                     const std::optional<Row>& row);
  void MoveUnwrittenUsage(UsageWindow window, const PendingWindow& pending);
  // Such a window counts as closed, and its row may be gone.
  bool IsPastRetention(UsageWindow window) const;

  TableStore& store_;
  const UsageWindowSettings settings_;
  const WallClock clock_;
  const std::string writer_;
  std::array<Shard, kShardCount> shards_;

  // Guards the members below; held while the store is called.
  std::mutex flush_mutex_;
  std::map<UsageWindow, PendingWindow> pending_windows_;

  mutable std::mutex late_mutex_;
  UsageTotals late_total_;
};

}  // namespace bamboomount

#endif  // PROVIDER_USAGE_RECORDER_H_
