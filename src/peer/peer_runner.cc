#include "peer/peer_runner.h"

#include "peer/events.h"
#include "telemetry/telemetry.h"

namespace bamboomount {

PeerRunner::PeerRunner(PeerNode& node,
                       InstanceDirectory& directory,
                       PeerRunnerOptions options)
    : node_(node), directory_(directory), options_(options) {
  heartbeats_ = std::thread([this] { RunHeartbeats(); });
  directory_reads_ = std::thread([this] { RunDirectoryReads(); });
}

PeerRunner::~PeerRunner() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  stop_requested_.notify_all();
  heartbeats_.join();
  directory_reads_.join();
}

void PeerRunner::RunHeartbeats() {
  do {
    node_.Tick();
  } while (WaitUnlessStopping(options_.heartbeat_interval));
}

void PeerRunner::RunDirectoryReads() {
  bool available = true;
  do {
    const auto listing = directory_.List(options_.listing_timeout);
    if (listing) {
      node_.ApplyListing(listing.value().instances);
    } else if (available) {
      Log(peer_events::kDirectoryUnavailable,
          {{"error", listing.error().message}});
    }
    available = listing.has_value();
  } while (WaitUnlessStopping(options_.listing_interval));
}

bool PeerRunner::WaitUnlessStopping(Millis duration) {
  std::unique_lock lock(mutex_);
  return !stop_requested_.wait_for(lock, duration,
                                   [this] { return stopping_; });
}

}  // namespace bamboomount
