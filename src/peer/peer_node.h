#ifndef PEER_PEER_NODE_H_
#define PEER_PEER_NODE_H_

#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "peer/change_exchange.h"
#include "peer/peer_transport.h"
#include "peer/roster.h"
#include "provider/provider.h"
#include "state/state.h"

namespace bamboomount {

using SteadyClock = std::function<SteadyTime()>;

struct PeerNodeOptions {
  InstanceId self;
  // Address at which peers reach this process, "ip:port".
  std::string peer_address;
  Incarnation incarnation;
  // Peer addresses to contact while their instance ids are unknown.
  std::vector<std::string> seed_peers;
  RosterOptions roster;
  std::uint64_t random_seed = 0;
};

// Change sequence in force on an instance, as far as this router knows.
struct InstanceSequence {
  InstanceId instance;
  PeerState state = PeerState::kLive;
  ChangeSequence sequence;
};

// Maintains the roster, and replicates changes and emergency withdrawals over a
// transport. Has no thread of its own; PeerRunner calls Tick. Thread-safe.
class PeerNode {
 public:
  // Called with the members of the roster, including this router, sorted by id.
  using RosterListener = std::function<void(const std::vector<RosterMember>&)>;

  PeerNode(const PeerNodeOptions& options,
           PeerTransport& transport,
           ControlStateHolder& holder,
           ChangeExchange& exchange,
           SteadyClock clock);

  // Adds a listener that runs in Start and after each change of members,
  // incarnations or leaving flags. Calls do not overlap. Add listeners before
  // Start.
  void AddRosterListener(RosterListener listener);
  // Sets the handler of slot messages. Call before Start.
  void SetSlotHandler(PeerTransport::Handler handler);
  // Starts to receive messages.
  void Start();
  // Stops receiving; after it has returned, no handler or listener runs for a
  // message.
  void Stop();

  // Sends the heartbeats of an interval. Call once per interval.
  void Tick();
  // Applies an instance list newly read from the platform.
  void ApplyListing(const std::vector<ListedInstance>& instances);
  // Announces the graceful shutdown of this router.
  void Leave();
  // Sends a change that this router has committed to the gossip targets.
  void PushChange(const EncodedChange& change);
  // Sends the emergency withdrawals of the holder to the gossip targets.
  void PushWithdrawals();

  std::vector<RosterMember> Members() const;
  // Counts the instances of the last known list that were alive within
  // `window`.
  LivenessCount CountLiveWithin(Millis window) const;
  // Returns when each instance of the last known list was last known to be
  // alive; leaves out instances for which no such time is known.
  std::vector<InstanceLiveness> Liveness() const;
  // Returns the instances known to hold the emergency withdrawal of `key`,
  // including this one if it does.
  std::set<InstanceId> AcknowledgedBy(const KeyId& key);
  // Returns the state and the change sequence of each member of the roster.
  std::vector<InstanceSequence> Statuses() const;

 private:
  // Emergency withdrawals that one incarnation of a member is known to hold.
  struct Acknowledged {
    Incarnation incarnation;
    std::set<KeyId> keys;
  };

  void HandleMessage(const InstanceId& sender, const PeerMessage& message);
  void Handle(const InstanceId& sender, const HeartbeatMessage& message);
  void Handle(const InstanceId& sender, const ChangePushMessage& message);
  void Handle(const InstanceId& sender, const ChangeFetchMessage& message);
  void Handle(const InstanceId& sender,
              const EmergencyWithdrawalMessage& message);
  void Handle(const InstanceId& sender, const EmergencyFetchMessage& message);
  void Handle(const InstanceId& sender, const LeavingMessage& message);

  SelfStatus Status() const;
  void Send(const OutgoingHeartbeat& heartbeat);
  void SendToGossipTargets(const PeerMessage& message);
  void FetchChanges(const InstanceId& peer, bool ignore_interval);
  void RecordAcknowledgments();
  void PublishRoster();

  PeerTransport& transport_;
  ControlStateHolder& holder_;
  ChangeExchange& exchange_;
  const SteadyClock clock_;
  PeerTransport::Handler slot_handler_;
  std::vector<RosterListener> listeners_;

  mutable std::mutex mutex_;
  Roster roster_;
  Roster::Random random_;
  // Instances to which the transport may hold connections.
  std::set<InstanceId> targets_;
  SteadyTime last_fetch_{};
  std::map<InstanceId, Acknowledged> acknowledged_;

  // Held while listeners run, so that they receive rosters in order.
  std::mutex publish_mutex_;
  std::uint64_t published_version_ = 0;
};

// Digest of a set of emergency withdrawals, by which routers compare their
// sets; 0 for the empty set.
std::uint64_t WithdrawalsDigest(const std::set<KeyId>& keys);

}  // namespace bamboomount

#endif  // PEER_PEER_NODE_H_
