#ifndef STANDINS_PLATFORM_LAGGING_DIRECTORY_H_
#define STANDINS_PLATFORM_LAGGING_DIRECTORY_H_

#include <chrono>
#include <map>
#include <mutex>
#include <vector>

#include "provider/provider.h"

namespace bamboomount::standin {

// The list of instances and backend servers as it was some time ago.
// Thread-safe.
class LaggingDirectory {
 public:
  LaggingDirectory();

  void SetInstance(const ListedInstance& instance);
  void RemoveInstance(const InstanceId& instance);
  void SetBackend(const ListedBackend& backend);
  void set_lag(std::chrono::milliseconds lag);

  // The listing as it was one lag ago.
  DirectoryListing LaggedListing() const;

 private:
  struct Snapshot {
    std::chrono::steady_clock::time_point valid_from;
    DirectoryListing listing;
  };

  // Appends the present state to the history.
  void RecordSnapshot();

  mutable std::mutex mutex_;
  std::chrono::milliseconds lag_{0};
  std::map<InstanceId, ListedInstance> instances_;
  std::map<BackendId, ListedBackend> backends_;
  std::vector<Snapshot> history_;
};

}  // namespace bamboomount::standin

#endif  // STANDINS_PLATFORM_LAGGING_DIRECTORY_H_
