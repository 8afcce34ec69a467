#ifndef STANDINS_PLATFORM_LAGGING_DIRECTORY_H_
#define STANDINS_PLATFORM_LAGGING_DIRECTORY_H_

#include <chrono>
#include <map>
#include <mutex>
#include <vector>

#include "provider/provider.h"

namespace bamboomount::standin {

// Directory of instances and backend servers whose reads are stale by a fixed
// lag. Thread-safe.
class LaggingDirectory {
 public:
  LaggingDirectory();

  // Adds the instance, or replaces the one with its id.
  void SetInstance(const ListedInstance& instance);
  // Does nothing if the instance is not listed.
  void RemoveInstance(const InstanceId& instance);
  // Adds the backend server, or replaces the one with its id.
  void SetBackend(const ListedBackend& backend);
  // Sets how old the listing of LaggedListing is; 0 by default.
  void set_lag(std::chrono::milliseconds lag);

  // Returns the listing as it was one lag ago.
  DirectoryListing LaggedListing() const;

 private:
  struct Snapshot {
    std::chrono::steady_clock::time_point valid_from;
    DirectoryListing listing;
  };

  // Appends the current listing to the history. The mutex must be held.
  void RecordSnapshot();

  mutable std::mutex mutex_;
  std::chrono::milliseconds lag_{0};
  std::map<InstanceId, ListedInstance> instances_;
  std::map<BackendId, ListedBackend> backends_;
  std::vector<Snapshot> history_;
};

}  // namespace bamboomount::standin

#endif  // STANDINS_PLATFORM_LAGGING_DIRECTORY_H_
