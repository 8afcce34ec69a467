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
  // Bounds the time of one step, so that orders are not held up.
  int max_reports_per_step = 100;
};

// Closes each usage window, adds up the rows of the routers, seals the sum and
// reports it customer by customer. Used from one thread, that of the lease.
class UsageSealer {
 public:
  UsageSealer(TableStore& store,
              UsageReports& reports,
              LeaseManager& lease,
              const UsageSealerSettings& settings,
              WallClock clock = std::chrono::system_clock::now);

  // Goes on with the oldest window that is not reported, as far as the lease,
  // the store and the bound for one step allow. True if it made progress.
  bool Step();

  // The oldest window that is not reported; empty before the first step of a
  // holder.
  std::optional<UsageWindow> next_window() const;

 private:
  // Progress of this holder.
  struct Progress {
    FencingToken token;
    UsageWindow window;
    // Set once the window is sealed: what the sealed row says.
    std::optional<SealedUsage> sealed;
    // Customers of `sealed` that were reported by this holder.
    std::size_t reported = 0;
  };

  bool LoadProgress();
  std::optional<UsageWindow> FirstUnreportedWindow();
  bool CloseWindow();
  bool SealWindow();
  std::optional<SealedUsage> SumRows();
  std::optional<SealedUsage> ReadSealed();
  // Sends up to max_reports_per_step reports; true when all were sent.
  bool ReportWindow();
  bool FinishWindow();
  // Adds the deletion of everything under `prefix` or with that key.
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
