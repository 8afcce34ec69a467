#ifndef APPS_BAMBOOMOUNTD_DIRECTORY_POLLER_H_
#define APPS_BAMBOOMOUNTD_DIRECTORY_POLLER_H_

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

#include "platform/platform.h"

namespace bamboomount {

// Reads the platform's list of instances at an interval and keeps the last
// one. Thread-safe.
class DirectoryPoller {
 public:
  using Listener = std::function<void(const DirectoryListing&)>;

  DirectoryPoller(InstanceDirectory& directory, Millis interval);
  ~DirectoryPoller();
  DirectoryPoller(const DirectoryPoller&) = delete;
  DirectoryPoller& operator=(const DirectoryPoller&) = delete;

  // Set it before Start. Runs on the poller's thread after each reading.
  void SetListener(Listener listener) { listener_ = std::move(listener); }
  void Start();
  void Stop();

  // The last list that was read; empty before the first.
  DirectoryListing last() const;

 private:
  void Run();
  void Poll();

  InstanceDirectory& directory_;
  const Millis interval_;
  Listener listener_ = [](const DirectoryListing&) {};
  mutable std::mutex mutex_;
  std::condition_variable wake_;
  bool stopping_ = false;
  bool available_ = true;
  DirectoryListing last_;
  std::thread thread_;
};

}  // namespace bamboomount

#endif  // APPS_BAMBOOMOUNTD_DIRECTORY_POLLER_H_
