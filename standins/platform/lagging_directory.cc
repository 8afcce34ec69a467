#include "lagging_directory.h"

namespace bamboomount::standin {

LaggingDirectory::LaggingDirectory() {
  history_.push_back({std::chrono::steady_clock::time_point::min(), {}});
}

void LaggingDirectory::SetInstance(const ListedInstance& instance) {
  const std::lock_guard lock(mutex_);
  instances_[instance.instance] = instance;
  Record();
}

void LaggingDirectory::RemoveInstance(const InstanceId& instance) {
  const std::lock_guard lock(mutex_);
  instances_.erase(instance);
  Record();
}

void LaggingDirectory::SetBackend(const ListedBackend& backend) {
  const std::lock_guard lock(mutex_);
  backends_[backend.backend] = backend;
  Record();
}

void LaggingDirectory::set_lag(std::chrono::milliseconds lag) {
  const std::lock_guard lock(mutex_);
  lag_ = lag;
}

DirectoryListing LaggingDirectory::Lagged() const {
  const std::lock_guard lock(mutex_);
  const auto then = std::chrono::steady_clock::now() - lag_;
  auto it = history_.rbegin();
  while (it->since > then)
    ++it;
  return it->listing;
}

void LaggingDirectory::Record() {
  Snapshot snapshot{std::chrono::steady_clock::now(), {}};
  for (const auto& [id, instance] : instances_)
    snapshot.listing.instances.push_back(instance);
  for (const auto& [id, backend] : backends_)
    snapshot.listing.backends.push_back(backend);
  history_.push_back(std::move(snapshot));
}

}  // namespace bamboomount::standin
