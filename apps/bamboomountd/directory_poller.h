#ifndef APPS_BAMBOOMOUNTD_DIRECTORY_POLLER_H_
#define APPS_BAMBOOMOUNTD_DIRECTORY_POLLER_H_

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

#include "provider/provider.h"

namespace bamboomount {

// Polls the platform's instance directory and caches the last listing, so that
// all parts of the process use the same one. Thread-safe apart from
// SetListener, Start and Stop. `directory` must outlive it.
class DirectoryPoller : public InstanceDirectory {
 public:
  using Listener = std::function<void(const DirectoryListing&)>;

  DirectoryPoller(InstanceDirectory& directory, Millis interval);
  ~DirectoryPoller() override;
  DirectoryPoller(const DirectoryPoller&) = delete;
  DirectoryPoller& operator=(const DirectoryPoller&) = delete;

  // To be called before Start. The listener runs on the poller's thread with
  // each listing, before List and last() return that listing.
  void SetListener(Listener listener) { listener_ = std::move(listener); }
  void Start();
  // May wait for a call to the directory. Later calls have no effect.
  void Stop();

  // Returns the last listing without blocking. Fails with kStoreUnavailable
  // before the first one.
  Result<DirectoryListing> List(Millis timeout) override;
  Result<void> Register(const ListedInstance& instance,
                        Millis timeout) override;
  // As List, but empty before the first listing.
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
