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
  wake_.notify_all();
  if (thread_.joinable())
    thread_.join();
}

DirectoryListing DirectoryPoller::last() const {
  const std::lock_guard lock(mutex_);
  return last_;
}

void DirectoryPoller::Run() {
  while (true) {
    Poll();
    std::unique_lock lock(mutex_);
    if (wake_.wait_for(lock, interval_, [this] { return stopping_; }))
      return;
  }
}

void DirectoryPoller::Poll() {
  auto listing = directory_.List(kListTimeout);
  if (!listing) {
    if (std::exchange(available_, false))
      Log(kDirectoryUnavailable, {{"error", listing.error().message}});
    return;
  }
  available_ = true;
  {
    const std::lock_guard lock(mutex_);
    last_ = listing.value();
  }
  listener_(listing.value());
}

}  // namespace bamboomount
