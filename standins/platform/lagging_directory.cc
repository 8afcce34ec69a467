#include "lagging_directory.h"

namespace bamboomount::standin {

LaggingDirectory::LaggingDirectory() {
  history_.push_back({std::chrono::steady_clock::time_point::min(), {}});
}

void LaggingDirectory::SetInstance(const ListedInstance& instance) {
  const std::lock_guard lock(mutex_);
  instances_[instance.instance] = instance;
  RecordSnapshot();
}

void LaggingDirectory::RemoveInstance(const InstanceId& instance) {
  const std::lock_guard lock(mutex_);
  instances_.erase(instance);
  RecordSnapshot();
}

void LaggingDirectory::SetBackend(const ListedBackend& backend) {
  const std::lock_guard lock(mutex_);
  backends_[backend.backend] = backend;
  RecordSnapshot();
}

void LaggingDirectory::set_lag(std::chrono::milliseconds lag) {
  const std::lock_guard lock(mutex_);
  lag_ = lag;
}

DirectoryListing LaggingDirectory::LaggedListing() const {
  const std::lock_guard lock(mutex_);
  const auto cutoff = std::chrono::steady_clock::now() - lag_;
  auto it = history_.rbegin();
  while (it->valid_from > cutoff)
    ++it;
  return it->listing;
}

void LaggingDirectory::RecordSnapshot() {
  Snapshot snapshot{std::chrono::steady_clock::now(), {}};
  for (const auto& [id, instance] : instances_)
    snapshot.listing.instances.push_back(instance);
  for (const auto& [id, backend] : backends_)
    snapshot.listing.backends.push_back(backend);
  history_.push_back(std::move(snapshot));
}

}  // namespace bamboomount::standin
