#ifndef APPS_BAMBOOMOUNTD_DIRECTORY_POLLER_H_
#define APPS_BAMBOOMOUNTD_DIRECTORY_POLLER_H_

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

#include "provider/provider.h"

namespace bamboomount {

// Reads the platform's list of instances at an interval and keeps the last
// one, so that all parts of the process share one reading. Thread-safe.
class DirectoryPoller : public InstanceDirectory {
 public:
  using Listener = std::function<void(const DirectoryListing&)>;

  DirectoryPoller(InstanceDirectory& directory, Millis interval);
  ~DirectoryPoller() override;
  DirectoryPoller(const DirectoryPoller&) = delete;
  DirectoryPoller& operator=(const DirectoryPoller&) = delete;

  // Set it before Start. Runs on the poller's thread after each reading.
  void SetListener(Listener listener) { listener_ = std::move(listener); }
  void Start();
  void Stop();

  // The last list that was read; fails with kStoreUnavailable before the
  // first. Does not block.
  Result<DirectoryListing> List(Millis timeout) override;
  Result<void> Register(const ListedInstance& instance,
                        Millis timeout) override;
  // As List, but empty before the first reading.
  DirectoryListing last() const;

 private:
  void Run();
  void Poll();

  InstanceDirectory& directory_;
  const Millis interval_;
  Listener listener_ = [](const DirectoryListing&) {};
  mutable std::mutex mutex_;
  std::condition_variable stop_condition_;
  bool stopping_ = false;
  bool directory_available_ = true;
  bool has_listing_ = false;
  DirectoryListing last_;
  std::thread thread_;
};

}  // namespace bamboomount

#endif  // APPS_BAMBOOMOUNTD_DIRECTORY_POLLER_H_
