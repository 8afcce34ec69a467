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
  // Time between reads of the platform's instance list.
  Millis listing_interval{1000};
  // Timeout of one read.
  Millis listing_timeout{2000};
};

// Calls PeerNode::Tick periodically and passes it the platform's instance list,
// each on a thread of its own, so that a slow platform does not delay
// heartbeats. The destructor stops both threads.
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
  // Waits for `duration`. Returns false, without waiting longer, once the
  // runner is stopping.
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
