#include "peer/roster.h"

#include <algorithm>
#include <bit>
#include <iterator>
#include <tuple>
#include <utility>

namespace bamboomount {
namespace {

// Number of own heartbeats whose send times are kept. Echoes of older
// heartbeats are of no use for a freshness limit of a few seconds.
constexpr std::size_t kMaxHeartbeatSendTimes = 64;
// An event is included in this many samples times the binary logarithm of the
// roster size, the usual bound for gossip to reach every member with high
// probability.
constexpr int kRetransmitMultiplier = 3;
// Above the full-mesh limit: number of contacts, and of members that have not
// replied, that receive an additional heartbeat per interval.
constexpr std::size_t kExtraContacts = 1;
constexpr std::size_t kExtraUnansweredMembers = 3;
// Prefix of the provisional id of a seed peer whose instance id is unknown.
constexpr char kSeedPrefix[] = "seed/";

template <typename T>
void ShuffleAndTruncate(std::vector<T>& items,
                        std::size_t count,
                        Roster::Random& random) {
  count = std::min(count, items.size());
  for (std::size_t i = 0; i < count; ++i) {
    std::uniform_int_distribution<std::size_t> pick(i, items.size() - 1);
    std::swap(items[i], items[pick(random)]);
  }
  items.resize(count);
}

}  // namespace

Roster::Roster(InstanceId self,
               std::string peer_address,
               Incarnation incarnation,
               RosterOptions options)
    : self_(std::move(self)),
      peer_address_(std::move(peer_address)),
      incarnation_(incarnation),
      options_(options) {}

void Roster::SetListedInstances(
    std::map<InstanceId, std::string> peer_addresses) {
  listed_ = std::move(peer_addresses);
}

void Roster::SetSeedAddresses(std::vector<std::string> addresses) {
  seed_addresses_ = std::move(addresses);
}

void Roster::SetLeaving() {
  leaving_ = true;
  ++version_;
}

std::vector<OutgoingHeartbeat> Roster::Tick(SteadyTime now,
                                            const SelfStatus& status,
                                            Random& random) {
  heartbeat_ += HeartbeatNumber(1);
  heartbeat_sent_at_.push_back(now);
  if (heartbeat_sent_at_.size() > kMaxHeartbeatSendTimes)
    heartbeat_sent_at_.pop_front();
  CountMissedIntervals();
  EraseExpiredMembers();

  const auto contacts = Contacts();
  const bool gossip = !IsFullMesh();
  std::vector<OutgoingHeartbeat> heartbeats;
  for (const InstanceId& target : ChooseTargets(random)) {
    const auto contact = contacts.find(target);
    const bool is_contact = contact != contacts.end();
    const auto member = members_.find(target);
    if (member != members_.end())
      member->second.awaiting_reply = !member->second.removed;
    const std::string& address =
        is_contact ? contact->second : member->second.peer_address;
    heartbeats.push_back(
        {target, address,
         MakeHeartbeat(target, gossip || is_contact, status, now, random)});
  }
  return heartbeats;
}

void Roster::CountMissedIntervals() {
  for (auto& [instance, member] : members_) {
    if (member.removed || !member.awaiting_reply)
      continue;
    ++member.missed_intervals;
    if (member.missed_intervals == options_.suspect_after_intervals) {
      ScheduleGossip(member, true);
      RecordEvent(RosterEventKind::kSuspected, instance);
    }
    if (member.missed_intervals < options_.remove_after_intervals)
      continue;
    member.removed = true;
    member.intervals_since_removal = 0;
    ++version_;
    ScheduleGossip(member, true);
    RecordEvent(RosterEventKind::kRemoved, instance);
  }
}

void Roster::EraseExpiredMembers() {
  for (auto& [instance, member] : members_) {
    if (member.removed)
      ++member.intervals_since_removal;
  }
  std::erase_if(members_, [this](const auto& entry) {
    return entry.second.removed && entry.second.intervals_since_removal >
                                       options_.removed_contact_intervals;
  });
}

bool Roster::IsSuspected(const Member& member) const {
  return member.missed_intervals >= options_.suspect_after_intervals;
}

bool Roster::IsFullMesh() const {
  std::set<InstanceId> known;
  for (const auto& [instance, member] : members_) {
    if (!member.removed)
      known.insert(instance);
  }
  for (const auto& [instance, address] : listed_)
    known.insert(instance);
  known.insert(self_);
  return known.size() <= options_.full_mesh_limit;
}

// Contacts are listed instances, seeds and removed members that are not in the
// roster.
std::map<InstanceId, std::string> Roster::Contacts() const {
  std::map<InstanceId, std::string> contacts;
  std::set<std::string> known_addresses{peer_address_};
  for (const auto& [instance, member] : members_) {
    if (member.removed) {
      contacts[instance] = member.peer_address;
      continue;
    }
    known_addresses.insert(member.peer_address);
  }
  for (const auto& [instance, address] : listed_) {
    const auto member = members_.find(instance);
    const bool in_roster = member != members_.end() && !member->second.removed;
    if (instance != self_ && !in_roster)
      contacts[instance] = address;
  }
  for (const std::string& address : seed_addresses_) {
    if (!known_addresses.contains(address))
      contacts[InstanceId(kSeedPrefix + address)] = address;
  }
  return contacts;
}

std::vector<InstanceId> Roster::ChooseTargets(Random& random) const {
  std::vector<InstanceId> members;
  std::vector<InstanceId> unanswered;
  for (const auto& [instance, member] : members_) {
    if (member.removed)
      continue;
    (member.awaiting_reply ? unanswered : members).push_back(instance);
  }
  std::vector<InstanceId> contacts;
  for (const auto& [instance, address] : Contacts())
    contacts.push_back(instance);
  if (!IsFullMesh()) {
    // A new router has no members yet and learns of them from its contacts.
    const std::size_t contact_count = members.size() < options_.gossip_fanout
                                          ? options_.gossip_fanout
                                          : kExtraContacts;
    ShuffleAndTruncate(members, options_.gossip_fanout, random);
    ShuffleAndTruncate(unanswered, kExtraUnansweredMembers, random);
    ShuffleAndTruncate(contacts, contact_count, random);
  }
  members.insert(members.end(), unanswered.begin(), unanswered.end());
  members.insert(members.end(), contacts.begin(), contacts.end());
  return members;
}

HeartbeatMessage Roster::MakeHeartbeat(const InstanceId& to,
                                       bool reply_wanted,
                                       const SelfStatus& status,
                                       SteadyTime now,
                                       Random& random) {
  HeartbeatMessage message;
  message.self = {self_,
                  peer_address_,
                  incarnation_,
                  heartbeat_,
                  leaving_ ? PeerState::kLeaving : PeerState::kLive,
                  status.sequence,
                  status.withdrawals_digest,
                  {}};
  const auto receiver = members_.find(to);
  if (receiver != members_.end()) {
    message.echo = receiver->second.direct_heartbeat;
    message.echo_incarnation = receiver->second.incarnation;
  }
  message.reply_wanted = reply_wanted;
  message.confirmation_age = status.confirmation_age;
  message.sample = TakeSample(to, now, random);
  return message;
}

std::vector<RosterEntry> Roster::TakeSample(const InstanceId& to,
                                            SteadyTime now,
                                            Random& random) {
  std::vector<std::map<InstanceId, Member>::iterator> pending;
  std::vector<std::map<InstanceId, Member>::iterator> others;
  for (auto it = members_.begin(); it != members_.end(); ++it) {
    if (it->second.pending_transmissions > 0) {
      pending.push_back(it);
    } else if (!it->second.removed && it->first != to) {
      others.push_back(it);
    }
  }
  // When many routers start together, gossip about joins fills the samples for
  // a minute or more; a suspicion must not wait behind it.
  ShuffleAndTruncate(pending, pending.size(), random);
  std::stable_partition(pending.begin(), pending.end(),
                        [](const auto& it) { return it->second.urgent; });
  pending.resize(std::min(pending.size(), options_.sample_size));
  for (const auto& it : pending)
    --it->second.pending_transmissions;
  ShuffleAndTruncate(others, options_.sample_size - pending.size(), random);
  pending.insert(pending.end(), others.begin(), others.end());
  std::vector<RosterEntry> sample;
  sample.reserve(pending.size());
  for (const auto& it : pending)
    sample.push_back(ToEntry(it->first, it->second, now));
  return sample;
}

RosterEntry Roster::ToEntry(const InstanceId& instance,
                            const Member& member,
                            SteadyTime now) const {
  RosterEntry entry{instance,
                    member.peer_address,
                    member.incarnation,
                    member.heartbeat,
                    PeerState::kLive,
                    member.sequence,
                    member.withdrawals_digest,
                    {}};
  if (member.leaving)
    entry.state = PeerState::kLeaving;
  if (IsSuspected(member))
    entry.state = PeerState::kSuspected;
  if (member.removed)
    entry.state = PeerState::kRemoved;
  // Rounded up, because the age is an upper bound.
  if (member.last_alive_at && *member.last_alive_at <= now)
    entry.liveness_age = std::chrono::ceil<Millis>(now - *member.last_alive_at);
  return entry;
}

std::optional<SteadyTime> Roster::HeartbeatSentAt(
    Incarnation incarnation,
    HeartbeatNumber heartbeat) const {
  if (incarnation != incarnation_ || heartbeat > heartbeat_)
    return {};
  const auto intervals_ago = heartbeat_.value() - heartbeat.value();
  if (intervals_ago >= heartbeat_sent_at_.size())
    return {};
  return heartbeat_sent_at_[heartbeat_sent_at_.size() - 1 - intervals_ago];
}

HeartbeatResult Roster::HandleHeartbeat(const InstanceId& sender,
                                        const HeartbeatMessage& message,
                                        SteadyTime now,
                                        const SelfStatus& status,
                                        Random& random) {
  HeartbeatResult result;
  if (message.self.instance != sender || sender == self_)
    return result;
  Member* member = MergeEntry(message.self, true);
  if (member == nullptr)
    return result;
  const auto earliest_sent_at =
      HeartbeatSentAt(message.echo_incarnation, message.echo);
  if (earliest_sent_at)
    member->last_alive_at = std::max(
        member->last_alive_at.value_or(*earliest_sent_at), *earliest_sent_at);
  if (earliest_sent_at && message.confirmation_age)
    result.confirmed_at = *earliest_sent_at - *message.confirmation_age;
  for (const RosterEntry& entry : message.sample)
    MergeGossipEntry(entry, earliest_sent_at);
  if (message.reply_wanted) {
    result.reply = {sender, message.self.peer_address,
                    MakeHeartbeat(sender, false, status, now, random)};
  }
  return result;
}

Roster::Member* Roster::MergeEntry(const RosterEntry& entry, bool direct) {
  auto found = members_.find(entry.instance);
  const bool known = found != members_.end();
  if (known) {
    const Member& member = found->second;
    const auto known_version = std::tie(member.incarnation, member.heartbeat);
    const auto received_version = std::tie(entry.incarnation, entry.heartbeat);
    // A second direct message of the same interval still shows that the member
    // is alive.
    if (received_version < known_version ||
        (received_version == known_version && (!direct || member.removed)))
      return nullptr;
  } else {
    found = members_.emplace(entry.instance, Member{}).first;
  }
  Member& member = found->second;
  const bool joined =
      !known || member.removed || member.incarnation != entry.incarnation;
  const bool suspicion_cleared = IsSuspected(member);
  if (member.incarnation != entry.incarnation)
    member = Member{};
  member.peer_address = entry.peer_address;
  member.incarnation = entry.incarnation;
  member.heartbeat = entry.heartbeat;
  member.sequence = entry.sequence;
  member.withdrawals_digest = entry.withdrawals_digest;
  member.removed = false;
  member.awaiting_reply = false;
  member.missed_intervals = 0;
  if (direct)
    member.direct_heartbeat = entry.heartbeat;
  if (joined || suspicion_cleared)
    ScheduleGossip(member, suspicion_cleared);
  if (joined) {
    ++version_;
    RecordEvent(RosterEventKind::kJoined, entry.instance);
  }
  if (entry.state == PeerState::kLeaving && !member.leaving) {
    member.leaving = true;
    ++version_;
    ScheduleGossip(member, true);
    RecordEvent(RosterEventKind::kLeaving, entry.instance);
  }
  return &member;
}

void Roster::MergeGossipEntry(const RosterEntry& entry,
                              std::optional<SteadyTime> earliest_sent_at) {
  if (entry.instance == self_ || entry.instance.empty())
    return;
  const bool reported_failed = entry.state == PeerState::kSuspected ||
                               entry.state == PeerState::kRemoved;
  if (!reported_failed) {
    MergeEntry(entry, false);
    const auto found = members_.find(entry.instance);
    if (found == members_.end() || !earliest_sent_at || !entry.liveness_age ||
        found->second.incarnation != entry.incarnation) {
      return;
    }
    const SteadyTime last_alive_at = *earliest_sent_at - *entry.liveness_age;
    found->second.last_alive_at = std::max(
        found->second.last_alive_at.value_or(last_alive_at), last_alive_at);
    return;
  }
  const auto found = members_.find(entry.instance);
  if (found == members_.end() || found->second.removed)
    return;
  Member& member = found->second;
  if (std::tie(member.incarnation, member.heartbeat) >
      std::tie(entry.incarnation, entry.heartbeat)) {
    // This router knows of a newer heartbeat, which ends the suspicion.
    ScheduleGossip(member, true);
    return;
  }
  if (IsSuspected(member))
    return;
  member.awaiting_reply = true;
  member.missed_intervals = options_.suspect_after_intervals;
  ScheduleGossip(member, true);
  RecordEvent(RosterEventKind::kSuspected, entry.instance);
}

void Roster::HandleLeaving(const InstanceId& sender,
                           const LeavingMessage& message) {
  const auto found = members_.find(sender);
  if (found == members_.end() || found->second.removed ||
      found->second.incarnation != message.incarnation ||
      found->second.leaving) {
    return;
  }
  found->second.leaving = true;
  ++version_;
  ScheduleGossip(found->second, true);
  RecordEvent(RosterEventKind::kLeaving, sender);
}

std::vector<RosterMember> Roster::Members() const {
  std::vector<RosterMember> members{
      {self_,
       peer_address_,
       incarnation_,
       leaving_ ? PeerState::kLeaving : PeerState::kLive,
       leaving_,
       {},
       0}};
  for (const auto& [instance, member] : members_) {
    if (!member.removed)
      members.push_back(*Find(instance));
  }
  std::sort(members.begin(), members.end(), [](const auto& a, const auto& b) {
    return a.instance < b.instance;
  });
  return members;
}

std::optional<RosterMember> Roster::Find(const InstanceId& instance) const {
  const auto found = members_.find(instance);
  if (found == members_.end() || found->second.removed)
    return {};
  const Member& member = found->second;
  const PeerState state = IsSuspected(member) ? PeerState::kSuspected
                          : member.leaving    ? PeerState::kLeaving
                                              : PeerState::kLive;
  return RosterMember{
      instance,       member.peer_address, member.incarnation,       state,
      member.leaving, member.sequence,     member.withdrawals_digest};
}

std::vector<InstanceId> Roster::GossipTargets(Random& random) const {
  std::vector<InstanceId> targets;
  for (const auto& [instance, member] : members_) {
    if (!member.removed)
      targets.push_back(instance);
  }
  if (!IsFullMesh())
    ShuffleAndTruncate(targets, options_.gossip_fanout, random);
  return targets;
}

std::set<InstanceId> Roster::Targets() const {
  std::set<InstanceId> targets;
  for (const auto& [instance, member] : members_)
    targets.insert(instance);
  for (const auto& [instance, address] : Contacts())
    targets.insert(instance);
  return targets;
}

LivenessCount Roster::CountLiveWithin(Millis window, SteadyTime now) const {
  LivenessCount count;
  for (const auto& [instance, address] : listed_) {
    ++count.listed;
    if (instance == self_) {
      ++count.live;
      continue;
    }
    const auto found = members_.find(instance);
    if (found == members_.end() || !found->second.last_alive_at)
      continue;
    if (*found->second.last_alive_at + window >= now)
      ++count.live;
  }
  return count;
}

std::vector<InstanceLiveness> Roster::Liveness() const {
  std::vector<InstanceLiveness> heard;
  for (const auto& [instance, member] : members_) {
    if (!member.last_alive_at || !listed_.contains(instance))
      continue;
    heard.push_back({instance, member.sequence, *member.last_alive_at});
  }
  return heard;
}

std::vector<RosterEvent> Roster::TakeEvents() {
  return std::exchange(events_, {});
}

void Roster::ScheduleGossip(Member& member, bool urgent) {
  member.urgent = urgent;
  member.pending_transmissions =
      kRetransmitMultiplier *
      static_cast<int>(std::bit_width(members_.size() + 1));
}

void Roster::RecordEvent(RosterEventKind kind, const InstanceId& instance) {
  events_.push_back({kind, instance});
}

}  // namespace bamboomount
