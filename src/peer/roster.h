#ifndef PEER_ROSTER_H_
#define PEER_ROSTER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "peer/messages.h"

namespace bamboomount {

struct RosterOptions {
  // Intervals without news after which a router is suspected and removed.
  int suspect_after_intervals = 3;
  int remove_after_intervals = 5;
  // Up to this many routers each one heartbeats all others.
  std::size_t full_mesh_limit = 16;
  // Above it: routers that get a heartbeat each interval.
  std::size_t gossip_fanout = 3;
  // Roster entries in each heartbeat.
  std::size_t sample_size = 8;
  // Intervals during which a removed router is still contacted, so that the
  // sides of a healed partition find each other without the platform's list.
  int removed_contact_intervals = 300;
};

// A router of the roster. Suspected routers count as live until they are
// removed.
struct RosterMember {
  InstanceId instance;
  std::string peer_address;
  Incarnation incarnation;
  // kLive, kLeaving or kSuspected.
  PeerState state = PeerState::kLive;
  bool leaving = false;
  ChangeSequence sequence;
  std::uint64_t withdrawals_digest = 0;
};

// What this router says of itself.
struct SelfStatus {
  ChangeSequence sequence;
  std::uint64_t withdrawals_digest = 0;
  // Time since the last store confirmation of `sequence`.
  std::optional<Millis> confirmation_age;
};

struct OutgoingHeartbeat {
  InstanceId to;
  std::string peer_address;
  HeartbeatMessage message;
};

enum class RosterEventKind { kJoined, kSuspected, kRemoved, kLeaving };

struct RosterEvent {
  RosterEventKind kind;
  InstanceId instance;
};

struct HeartbeatResult {
  std::optional<OutgoingHeartbeat> reply;
  // The store confirmed the sender's change sequence at this time or later.
  std::optional<SteadyTime> confirmed_at;
};

// An instance of the last known list and when it was last known alive.
struct InstanceLiveness {
  InstanceId instance;
  ChangeSequence sequence;
  SteadyTime last_alive_at;
};

struct LivenessCount {
  int live = 0;
  // Size of the last known instance list, this instance included.
  int listed = 0;

  bool strict_majority() const { return 2 * live > listed; }
};

// Which routers are alive, by heartbeats and gossip. Holds no clock, no socket
// and no random source. A missed interval of a router is one that began with
// an unanswered heartbeat to it and ended without news of a newer heartbeat,
// at first hand or by gossip; in the full mesh that is each interval without
// a heartbeat. Counting own intervals instead of elapsed time keeps a process
// that was stopped from suspecting everybody. Not thread-safe.
class Roster {
 public:
  using Random = std::mt19937_64;

  Roster(InstanceId self,
         std::string peer_address,
         Incarnation incarnation,
         RosterOptions options);

  // Replaces the last known instance list; its instances get heartbeats until
  // they are heard.
  void SetListedInstances(std::map<InstanceId, std::string> peer_addresses);
  // Addresses to contact whose instances are not known.
  void SetSeedAddresses(std::vector<std::string> addresses);
  // Marks this router as leaving for the rest of its life.
  void SetLeaving();

  // Starts the next interval: suspects and removes routers, and returns the
  // heartbeats to send.
  std::vector<OutgoingHeartbeat> Tick(SteadyTime now,
                                      const SelfStatus& status,
                                      Random& random);
  HeartbeatResult HandleHeartbeat(const InstanceId& sender,
                                  const HeartbeatMessage& message,
                                  SteadyTime now,
                                  const SelfStatus& status,
                                  Random& random);
  void HandleLeaving(const InstanceId& sender, const LeavingMessage& message);

  // Live, leaving and suspected routers, this one included, by id.
  std::vector<RosterMember> Members() const;
  std::optional<RosterMember> Find(const InstanceId& instance) const;
  // Random members other than this router; all of them in the full mesh.
  std::vector<InstanceId> GossipTargets(Random& random) const;
  // Whether each router heartbeats all others.
  bool IsFullMesh() const;

  // Every id that Tick may address: members, listed instances, seeds, and
  // removed routers that are still contacted.
  std::set<InstanceId> Targets() const;

  // Instances of the last known list that were alive at `now - window` or
  // later by this router's own clock.
  LivenessCount CountLiveWithin(Millis window, SteadyTime now) const;
  std::vector<InstanceLiveness> Liveness() const;

  // Grows with each change of members, incarnations or leaving marks.
  std::uint64_t version() const { return version_; }
  std::vector<RosterEvent> TakeEvents();

  const InstanceId& self() const { return self_; }
  Incarnation incarnation() const { return incarnation_; }

 private:
  struct Member {
    std::string peer_address;
    Incarnation incarnation;
    HeartbeatNumber heartbeat;
    bool leaving = false;
    bool removed = false;
    ChangeSequence sequence;
    std::uint64_t withdrawals_digest = 0;
    // A heartbeat of this router to it is unanswered.
    bool awaiting_reply = false;
    int missed_intervals = 0;
    int intervals_since_removal = 0;
    // It was alive at this time or later.
    std::optional<SteadyTime> last_alive_at;
    // Highest heartbeat received from it directly.
    HeartbeatNumber direct_heartbeat;
    // How often the entry still goes ahead of others into samples.
    int pending_transmissions = 0;
    // Its news is about life or death and goes ahead of news of joins.
    bool urgent = false;
  };

  void CountMissedIntervals();
  void ForgetExpiredMembers();
  bool IsSuspected(const Member& member) const;
  std::map<InstanceId, std::string> Contacts() const;
  std::vector<InstanceId> ChooseTargets(Random& random) const;
  HeartbeatMessage MakeHeartbeat(const InstanceId& to,
                                 bool reply_wanted,
                                 const SelfStatus& status,
                                 SteadyTime now,
                                 Random& random);
  std::vector<RosterEntry> TakeSample(const InstanceId& to,
                                      SteadyTime now,
                                      Random& random);
  RosterEntry ToEntry(const InstanceId& instance,
                      const Member& member,
                      SteadyTime now) const;
  std::optional<SteadyTime> HeartbeatSentAt(Incarnation incarnation,
                                            HeartbeatNumber heartbeat) const;
  // Returns the member if `entry` is news of it, and adds it if it is unknown.
  Member* MergeEntry(const RosterEntry& entry, bool direct);
  void MergeGossipEntry(const RosterEntry& entry,
                        std::optional<SteadyTime> earliest_sent_at);
  void ScheduleGossip(Member& member, bool urgent);
  void RecordEvent(RosterEventKind kind, const InstanceId& instance);

  const InstanceId self_;
  const std::string peer_address_;
  const Incarnation incarnation_;
  const RosterOptions options_;
  HeartbeatNumber heartbeat_;
  bool leaving_ = false;
  // Times of this router's last heartbeats, the newest at the back.
  std::deque<SteadyTime> heartbeat_sent_at_;
  std::map<InstanceId, Member> members_;
  std::map<InstanceId, std::string> listed_;
  std::vector<std::string> seed_addresses_;
  std::vector<RosterEvent> events_;
  std::uint64_t version_ = 0;
};

}  // namespace bamboomount

#endif  // PEER_ROSTER_H_
