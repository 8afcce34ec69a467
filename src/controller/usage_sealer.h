#ifndef CONTROLLER_USAGE_SEALER_H_
#define CONTROLLER_USAGE_SEALER_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/base.h"
#include "controller/lease_manager.h"
#include "provider/provider.h"

namespace bamboomount {

struct UsageSealerSettings {
  UsageWindowSettings windows;
  Millis store_timeout{1000};
  Millis report_timeout{1000};
  // Limits the duration of one step, so that orders are not delayed.
  int max_reports_per_step = 100;
};

// Closes each usage window, sums up the rows of the routers, seals the sum and
// reports it customer by customer. Not thread-safe; used from the thread of the
// lease manager.
//
// After a restore of the table from an older copy, windows that may have been
// sealed before it are not sealed again: their seal in the copy is reported, or
// else nothing, because another sum could contradict what was reported.
class UsageSealer {
 public:
  UsageSealer(TableStore& store,
              UsageReports& reports,
              LeaseManager& lease,
              const UsageSealerSettings& settings,
              WallClock clock = std::chrono::system_clock::now);

  // Continues with the oldest window that is not reported, as far as the lease,
  // the store and max_reports_per_step allow. Returns true if the window was
  // completely reported, or passed over after a restore.
  bool Step();

  // The oldest window that is not reported. Empty before the first step as
  // lease holder.
  std::optional<UsageWindow> next_window() const;

 private:
  // Progress under the current lease.
  struct Progress {
    FencingToken token;
    UsageWindow window;
    // Windows up to this one may have been sealed before the latest restore.
    std::optional<UsageWindow> sealed_through;
    // Content of the sealed row; set when the window is sealed.
    std::optional<SealedUsage> sealed;
    // Number of customers of `sealed` that this holder has reported.
    std::size_t reported = 0;
  };

  bool LoadProgress();
  // Loads the window up to which seals may have been lost, and records it at
  // the first call in an era. Returns false if that failed.
  bool LoadSealedThrough(std::optional<UsageWindow>& sealed_through);
  // The newest window that any earlier holder may have sealed by now.
  UsageWindow NewestDueWindow() const;
  // Closes the window and sets the totals to report. Returns false if the step
  // has to be repeated.
  bool PrepareTotals();
  // Sets the totals of the seal in the copy, or none if the copy has no seal.
  bool LoadSealFromCopy();
  std::optional<UsageWindow> FirstUnreportedWindow();
  bool CloseWindow();
  bool SealWindow();
  std::optional<SealedUsage> SumRows();
  std::optional<SealedUsage> ReadSealed();
  // Sends up to max_reports_per_step reports. Returns true when all customers
  // of the window are reported.
  bool ReportWindow();
  bool FinishWindow();
  // Adds the deletion of every row whose key starts with `prefix`. Returns
  // false if the store did not respond.
  bool AddDeletions(const std::string& prefix, Transaction& transaction);

  TableStore& store_;
  UsageReports& reports_;
  LeaseManager& lease_;
  const UsageSealerSettings settings_;
  const WallClock clock_;
  std::optional<Progress> progress_;
};

}  // namespace bamboomount

#endif  // CONTROLLER_USAGE_SEALER_H_
