#ifndef PEER_PEER_RUNNER_H_
#define PEER_PEER_RUNNER_H_

#include <condition_variable>
#include <mutex>
#include <thread>

#include "peer/peer_node.h"
#include "provider/provider.h"

namespace bamboomount {

struct PeerRunnerOptions {
  // Time between heartbeats.
  Millis heartbeat_interval{1000};
  // Time between readings of the platform's list.
  Millis listing_interval{1000};
  // Limit for one reading.
  Millis listing_timeout{2000};
};

// Ticks a PeerNode and feeds it the platform's list, each on a thread of its
// own, so that a slow platform does not hold up heartbeats. Both stop with the
// destructor.
class PeerRunner {
 public:
  PeerRunner(PeerNode& node,
             InstanceDirectory& directory,
             PeerRunnerOptions options);
  ~PeerRunner();
  PeerRunner(const PeerRunner&) = delete;
  PeerRunner& operator=(const PeerRunner&) = delete;

 private:
  void RunHeartbeats();
  void RunDirectoryReads();
  // Returns false if the runner stops.
  bool WaitUnlessStopping(Millis duration);

  PeerNode& node_;
  InstanceDirectory& directory_;
  const PeerRunnerOptions options_;
  std::mutex mutex_;
  std::condition_variable stop_requested_;
  bool stopping_ = false;
  std::thread heartbeats_;
  std::thread directory_reads_;
};

}  // namespace bamboomount

#endif  // PEER_PEER_RUNNER_H_
