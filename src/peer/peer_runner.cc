#include "peer/peer_runner.h"

#include "peer/events.h"
#include "telemetry/telemetry.h"

namespace bamboomount {

PeerRunner::PeerRunner(PeerNode& node,
                       InstanceDirectory& directory,
                       PeerRunnerOptions options)
    : node_(node), directory_(directory), options_(options) {
  heartbeats_ = std::thread([this] { RunHeartbeats(); });
  listings_ = std::thread([this] { RunListings(); });
}

PeerRunner::~PeerRunner() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  stop_requested_.notify_all();
  heartbeats_.join();
  listings_.join();
}

void PeerRunner::RunHeartbeats() {
  do {
    node_.Tick();
  } while (Pause(options_.heartbeat_interval));
}

void PeerRunner::RunListings() {
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
  } while (Pause(options_.listing_interval));
}

bool PeerRunner::Pause(Millis duration) {
  std::unique_lock lock(mutex_);
  return !stop_requested_.wait_for(lock, duration,
                                   [this] { return stopping_; });
}

}  // namespace bamboomount
