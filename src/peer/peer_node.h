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
  // Where peers reach this process.
  std::string peer_address;
  Incarnation incarnation;
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

// Keeps the roster and spreads changes and emergency withdrawals over a
// transport. Has no thread of its own: PeerRunner ticks it. Thread-safe.
class PeerNode {
 public:
  // The members of the roster, this router included, by id.
  using RosterListener = std::function<void(const std::vector<RosterMember>&)>;

  PeerNode(const PeerNodeOptions& options,
           PeerTransport& transport,
           ControlStateHolder& holder,
           ChangeExchange& exchange,
           SteadyClock clock);

  // Runs after each change of members, incarnations or leaving marks; calls
  // do not overlap. Add listeners before Start.
  void AddRosterListener(RosterListener listener);
  // Receives the slot messages; set before Start.
  void SetSlotHandler(PeerTransport::Handler handler);
  // Begins to receive messages.
  void Start();
  // No handler or listener runs for a message after it has returned.
  void Stop();

  // Sends heartbeats; call once in each interval.
  void Tick();
  // Takes over a newly read list of the platform.
  void ApplyListing(const std::vector<ListedInstance>& instances);
  // Announces the planned stop of this router.
  void Leave();
  // Sends a change that this router has committed.
  void PushChange(const EncodedChange& change);
  // Sends the emergency withdrawals that the holder has.
  void PushWithdrawals();

  std::vector<RosterMember> Members() const;
  // Of the last known instance list.
  LivenessCount CountLiveWithin(Millis window) const;
  std::vector<InstanceLiveness> Liveness() const;
  // Instances that hold the emergency withdrawal, this one included.
  std::set<InstanceId> AcknowledgedBy(const KeyId& key);
  std::vector<InstanceSequence> Statuses() const;

 private:
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
  // Ids that the transport may hold connections to.
  std::set<InstanceId> targets_;
  SteadyTime last_fetch_{};
  std::map<InstanceId, Acknowledged> acknowledged_;

  // Held while listeners run, so that they see rosters in order.
  std::mutex publish_mutex_;
  std::uint64_t published_version_ = 0;
};

// Digest by which routers compare their sets of emergency withdrawals; 0 for
// the empty set.
std::uint64_t WithdrawalsDigest(const std::set<KeyId>& keys);

}  // namespace bamboomount

#endif  // PEER_PEER_NODE_H_
