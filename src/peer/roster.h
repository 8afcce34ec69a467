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
  // Number of missed intervals after which a router is suspected and removed.
  int suspect_after_intervals = 3;
  int remove_after_intervals = 5;
  // With up to this many routers, each sends heartbeats to all others (full
  // mesh).
  std::size_t full_mesh_limit = 16;
  // Above full_mesh_limit: number of members that receive a heartbeat per
  // interval.
  std::size_t gossip_fanout = 3;
  // Maximum number of roster entries gossiped in a heartbeat.
  std::size_t sample_size = 8;
  // Number of intervals for which a removed router is still contacted, so that
  // the sides of a healed partition find each other without the platform's
  // list.
  int removed_contact_intervals = 300;
};

// A member of the roster. Suspected routers count as live until they are
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

// Status of this router that its heartbeats report.
struct SelfStatus {
  ChangeSequence sequence;
  std::uint64_t withdrawals_digest = 0;
  // Time since the store last confirmed `sequence`; empty if it never did.
  std::optional<Millis> confirmation_age;
};

// A heartbeat to send to the instance `to` at `peer_address`.
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

// What a received heartbeat calls for.
struct HeartbeatResult {
  std::optional<OutgoingHeartbeat> reply;
  // The store confirmed the change sequence of the sender at this time or
  // later.
  std::optional<SteadyTime> confirmed_at;
};

// An instance of the last known list and when it was last known to be alive.
struct InstanceLiveness {
  InstanceId instance;
  ChangeSequence sequence;
  SteadyTime last_alive_at;
};

// Instances of the last known list that were alive within a window.
struct LivenessCount {
  int live = 0;
  // Size of the last known instance list, including this instance.
  int listed = 0;

  bool strict_majority() const { return 2 * live > listed; }
};

// Tracks which routers are alive, by heartbeats and gossip. Takes the time and
// the random source as arguments and does no I/O. Not thread-safe.
//
// A router missed an interval if the interval began with an unanswered
// heartbeat to that router and ended without evidence of a newer heartbeat,
// received directly or by gossip; in the full mesh that is each interval
// without a heartbeat. Counting own intervals instead of elapsed time prevents
// a process that was stopped from suspecting all others.
class Roster {
 public:
  using Random = std::mt19937_64;

  Roster(InstanceId self,
         std::string peer_address,
         Incarnation incarnation,
         RosterOptions options);

  // Replaces the last known instance list. Listed instances receive heartbeats
  // until they join the roster.
  void SetListedInstances(std::map<InstanceId, std::string> peer_addresses);
  // Sets addresses to contact whose instance ids are unknown.
  void SetSeedAddresses(std::vector<std::string> addresses);
  // Marks this router as leaving until its process ends.
  void SetLeaving();

  // Starts the next interval: suspects and removes routers, and returns the
  // heartbeats to send.
  std::vector<OutgoingHeartbeat> Tick(SteadyTime now,
                                      const SelfStatus& status,
                                      Random& random);
  // Merges a received heartbeat and its gossip into the roster. Ignores
  // heartbeats that are outdated or name another instance than the sender.
  HeartbeatResult HandleHeartbeat(const InstanceId& sender,
                                  const HeartbeatMessage& message,
                                  SteadyTime now,
                                  const SelfStatus& status,
                                  Random& random);
  // Marks the sender as leaving, unless the message is of another incarnation.
  void HandleLeaving(const InstanceId& sender, const LeavingMessage& message);

  // Live, leaving and suspected routers, including this one, sorted by id.
  std::vector<RosterMember> Members() const;
  // Returns a member other than this router; empty if it is unknown or removed.
  std::optional<RosterMember> Find(const InstanceId& instance) const;
  // Random members other than this router that receive gossip; all of them in
  // the full mesh.
  std::vector<InstanceId> GossipTargets(Random& random) const;
  // Whether each router sends heartbeats to all others.
  bool IsFullMesh() const;

  // All ids to which Tick may send: members, listed instances, seeds, and
  // removed routers that are still contacted.
  std::set<InstanceId> Targets() const;

  // Counts the instances of the last known list that were alive at `now -
  // window` or later by the clock of this router.
  LivenessCount CountLiveWithin(Millis window, SteadyTime now) const;
  // Returns the instances of the last known list whose last_alive_at is known.
  std::vector<InstanceLiveness> Liveness() const;

  // Incremented with each change of members, incarnations or leaving flags.
  std::uint64_t version() const { return version_; }
  // Returns the events since the previous call.
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
    // A heartbeat to the member is unanswered.
    bool awaiting_reply = false;
    int missed_intervals = 0;
    int intervals_since_removal = 0;
    // The member was alive at this time or later.
    std::optional<SteadyTime> last_alive_at;
    // Highest heartbeat number received directly from the member.
    HeartbeatNumber direct_heartbeat;
    // Number of further samples in which the entry precedes others.
    int pending_transmissions = 0;
    // Whether the pending gossip is about suspicion, removal or leaving, which
    // precedes gossip about joins.
    bool urgent = false;
  };

  void CountMissedIntervals();
  void EraseExpiredMembers();
  bool IsSuspected(const Member& member) const;
  // Returns addresses to contact that are not in the roster: listed instances,
  // seeds and removed members.
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
  // Returns when this router sent a heartbeat; empty if it is too old or of
  // another incarnation.
  std::optional<SteadyTime> HeartbeatSentAt(Incarnation incarnation,
                                            HeartbeatNumber heartbeat) const;
  // Merges `entry` if it is newer than the known state of the router, and adds
  // an unknown router. Returns the member, or nullptr if `entry` is outdated.
  Member* MergeEntry(const RosterEntry& entry, bool direct);
  // `earliest_sent_at` is a lower bound, by the clock of this router, of when
  // the message with `entry` was sent; empty if unknown.
  void MergeGossipEntry(const RosterEntry& entry,
                        std::optional<SteadyTime> earliest_sent_at);
  // Puts the entry of `member` ahead of others in the next samples.
  void ScheduleGossip(Member& member, bool urgent);
  void RecordEvent(RosterEventKind kind, const InstanceId& instance);

  const InstanceId self_;
  const std::string peer_address_;
  const Incarnation incarnation_;
  const RosterOptions options_;
  HeartbeatNumber heartbeat_;
  bool leaving_ = false;
  // Send times of the last heartbeats of this router, the newest at the back.
  std::deque<SteadyTime> heartbeat_sent_at_;
  std::map<InstanceId, Member> members_;
  std::map<InstanceId, std::string> listed_;
  std::vector<std::string> seed_addresses_;
  std::vector<RosterEvent> events_;
  std::uint64_t version_ = 0;
};

}  // namespace bamboomount

#endif  // PEER_ROSTER_H_
