#include "directory_poller.h"

#include <utility>

#include "events.h"

namespace bamboomount {
namespace {

constexpr Millis kListTimeout{1000};

}  // namespace

DirectoryPoller::DirectoryPoller(InstanceDirectory& directory, Millis interval)
    : directory_(directory), interval_(interval) {}

DirectoryPoller::~DirectoryPoller() {
  Stop();
}

void DirectoryPoller::Start() {
  thread_ = std::thread([this] { Run(); });
}

void DirectoryPoller::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  stop_condition_.notify_all();
  if (thread_.joinable())
    thread_.join();
}

Result<DirectoryListing> DirectoryPoller::List(Millis /*timeout*/) {
  const std::lock_guard lock(mutex_);
  if (!has_listing_)
    return Error{ErrorCode::kStoreUnavailable,
                 RunVerdict::kNotRun,
                 "the list of instances has not been read yet",
                 {}};
  return last_;
}

Result<void> DirectoryPoller::Register(const ListedInstance& instance,
                                       Millis timeout) {
  return directory_.Register(instance, timeout);
}

DirectoryListing DirectoryPoller::last() const {
  const std::lock_guard lock(mutex_);
  return last_;
}

void DirectoryPoller::Run() {
  while (true) {
    Poll();
    std::unique_lock lock(mutex_);
    if (stop_condition_.wait_for(lock, interval_, [this] { return stopping_; }))
      return;
  }
}

void DirectoryPoller::Poll() {
  auto listing = directory_.List(kListTimeout);
  if (!listing) {
    if (std::exchange(directory_available_, false))
      Log(kDirectoryUnavailable, {{"error", listing.error().message}});
    return;
  }
  directory_available_ = true;
  // The listener comes first: what status shows as listed is in force.
  listener_(listing.value());
  const std::lock_guard lock(mutex_);
  last_ = listing.value();
  has_listing_ = true;
}

}  // namespace bamboomount
