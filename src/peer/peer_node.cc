#include "peer/peer_node.h"

#include <xxhash.h>

#include <utility>

#include "peer/events.h"
#include "telemetry/telemetry.h"

namespace bamboomount {
namespace {

// Minimum time between two fetches of missing changes. The heartbeats of all
// peers show the same gap, so one fetch is enough; a lost fetch is repeated
// after this time.
constexpr Millis kFetchInterval{300};
// Maximum size of a response to a fetch, in bytes of change text. The remainder
// is fetched immediately afterwards.
constexpr std::size_t kMaxPushBytes = std::size_t{1} << 20;

const LogEvent& LogEventFor(RosterEventKind kind) {
  switch (kind) {
    case RosterEventKind::kJoined:
      return peer_events::kPeerJoined;
    case RosterEventKind::kSuspected:
      return peer_events::kPeerSuspected;
    case RosterEventKind::kRemoved:
      return peer_events::kPeerRemoved;
    case RosterEventKind::kLeaving:
      return peer_events::kPeerLeaving;
  }
  return peer_events::kPeerJoined;
}

}  // namespace

std::uint64_t WithdrawalsDigest(const std::set<KeyId>& keys) {
  if (keys.empty())
    return 0;
  std::string joined;
  for (const KeyId& key : keys)
    joined.append(key.value()).push_back('\0');
  return XXH3_64bits(joined.data(), joined.size());
}

PeerNode::PeerNode(const PeerNodeOptions& options,
                   PeerTransport& transport,
                   ControlStateHolder& holder,
                   ChangeExchange& exchange,
                   SteadyClock clock)
    : transport_(transport),
      holder_(holder),
      exchange_(exchange),
      clock_(std::move(clock)),
      roster_(options.self,
              options.peer_address,
              options.incarnation,
              options.roster),
      random_(options.random_seed) {
  roster_.SetSeedAddresses(options.seed_peers);
}

void PeerNode::AddRosterListener(RosterListener listener) {
  listeners_.push_back(std::move(listener));
}

void PeerNode::SetSlotHandler(PeerTransport::Handler handler) {
  slot_handler_ = std::move(handler);
}

void PeerNode::Start() {
  transport_.Start(
      [this](const InstanceId& sender, const PeerMessage& message) {
        HandleMessage(sender, message);
      });
  const std::lock_guard publishing(publish_mutex_);
  for (const RosterListener& listener : listeners_)
    listener(Members());
}

void PeerNode::Stop() {
  transport_.Stop();
}

void PeerNode::Tick() {
  const SelfStatus status = Status();
  std::vector<OutgoingHeartbeat> heartbeats;
  std::set<InstanceId> former_targets;
  {
    const std::lock_guard lock(mutex_);
    heartbeats = roster_.Tick(clock_(), status, random_);
    former_targets = std::exchange(targets_, roster_.Targets());
    for (const InstanceId& target : targets_)
      former_targets.erase(target);
  }
  PublishRoster();
  // Connections to former targets, such as replaced instances, would otherwise
  // accumulate, each of them redialing forever.
  for (const InstanceId& instance : former_targets)
    transport_.RemoveAddress(instance);
  for (const OutgoingHeartbeat& heartbeat : heartbeats)
    Send(heartbeat);
}

void PeerNode::ApplyListing(const std::vector<ListedInstance>& instances) {
  std::map<InstanceId, std::string> addresses;
  for (const ListedInstance& instance : instances)
    addresses.emplace(instance.instance, instance.peer_address);
  const std::lock_guard lock(mutex_);
  roster_.SetListedInstances(std::move(addresses));
}

void PeerNode::Leave() {
  std::vector<RosterMember> members;
  Incarnation incarnation;
  {
    const std::lock_guard lock(mutex_);
    roster_.SetLeaving();
    members = roster_.Members();
    incarnation = roster_.incarnation();
  }
  PublishRoster();
  for (const RosterMember& member : members)
    transport_.Send(member.instance, LeavingMessage{incarnation});
}

void PeerNode::PushChange(const EncodedChange& change) {
  SendToGossipTargets(ChangePushMessage{{change}});
}

void PeerNode::PushWithdrawals() {
  SendToGossipTargets(
      EmergencyWithdrawalMessage{holder_.emergency_withdrawals()});
}

std::vector<RosterMember> PeerNode::Members() const {
  const SelfStatus status = Status();
  const std::lock_guard lock(mutex_);
  auto members = roster_.Members();
  for (RosterMember& member : members) {
    if (member.instance != roster_.self())
      continue;
    member.sequence = status.sequence;
    member.withdrawals_digest = status.withdrawals_digest;
  }
  return members;
}

LivenessCount PeerNode::CountLiveWithin(Millis window) const {
  const std::lock_guard lock(mutex_);
  return roster_.CountLiveWithin(window, clock_());
}

std::vector<InstanceLiveness> PeerNode::Liveness() const {
  const std::lock_guard lock(mutex_);
  return roster_.Liveness();
}

std::set<InstanceId> PeerNode::AcknowledgedBy(const KeyId& key) {
  RecordAcknowledgments();
  std::set<InstanceId> instances;
  const bool held_locally = holder_.emergency_withdrawals().contains(key);
  const std::lock_guard lock(mutex_);
  if (held_locally)
    instances.insert(roster_.self());
  for (const auto& [instance, acknowledged] : acknowledged_) {
    if (acknowledged.keys.contains(key))
      instances.insert(instance);
  }
  return instances;
}

std::vector<InstanceSequence> PeerNode::Statuses() const {
  std::vector<InstanceSequence> statuses;
  for (const RosterMember& member : Members())
    statuses.push_back({member.instance, member.state, member.sequence});
  return statuses;
}

void PeerNode::HandleMessage(const InstanceId& sender,
                             const PeerMessage& message) {
  std::visit(
      [&](const auto& body) {
        if constexpr (requires { Handle(sender, body); }) {
          Handle(sender, body);
        } else if (slot_handler_) {
          slot_handler_(sender, message);
        }
      },
      message);
}

void PeerNode::Handle(const InstanceId& sender,
                      const HeartbeatMessage& message) {
  const SelfStatus status = Status();
  HeartbeatResult result;
  {
    const std::lock_guard lock(mutex_);
    result =
        roster_.HandleHeartbeat(sender, message, clock_(), status, random_);
  }
  // Slot messages may be sent to the peer before the next heartbeat.
  transport_.SetAddress(sender, message.self.peer_address);
  PublishRoster();
  if (result.reply)
    Send(*result.reply);
  if (result.confirmed_at)
    exchange_.OnPeerConfirmation(message.self.sequence, *result.confirmed_at);
  if (message.self.sequence > status.sequence)
    FetchChanges(sender, false);
  const std::uint64_t digest = message.self.withdrawals_digest;
  if (digest != 0 && digest != status.withdrawals_digest)
    transport_.Send(sender, EmergencyFetchMessage{});
  RecordAcknowledgments();
}

void PeerNode::Handle(const InstanceId& sender,
                      const ChangePushMessage& message) {
  if (message.changes.empty())
    return;
  const ChangeSequence before = exchange_.sequence();
  exchange_.OnChanges(message.changes);
  const ChangeSequence after = exchange_.sequence();
  bool gossip = false;
  ChangeSequence available = message.changes.back().sequence;
  {
    const std::lock_guard lock(mutex_);
    gossip = !roster_.IsFullMesh();
    const auto member = roster_.Find(sender);
    if (member)
      available = std::max(available, member->sequence);
  }
  if (gossip && after > before)
    SendToGossipTargets(message);
  // Without progress, an immediate fetch would loop between two routers if the
  // sender no longer holds the next change.
  if (available > after)
    FetchChanges(sender, after > before);
}

void PeerNode::Handle(const InstanceId& sender,
                      const ChangeFetchMessage& message) {
  ChangePushMessage answer{
      exchange_.ChangesAfter(message.after, kMaxPushBytes)};
  if (!answer.changes.empty())
    transport_.Send(sender, answer);
}

void PeerNode::Handle(const InstanceId& sender,
                      const EmergencyWithdrawalMessage& message) {
  const auto added = holder_.AddEmergencyWithdrawals(message.keys);
  if (added.empty())
    return;
  Log(peer_events::kWithdrawalReceived,
      {{"from", sender.value()}, {"keys", std::to_string(added.size())}});
  bool gossip = false;
  {
    const std::lock_guard lock(mutex_);
    gossip = !roster_.IsFullMesh();
  }
  if (gossip)
    PushWithdrawals();
}

void PeerNode::Handle(const InstanceId& sender,
                      const EmergencyFetchMessage& /*message*/) {
  transport_.Send(sender,
                  EmergencyWithdrawalMessage{holder_.emergency_withdrawals()});
}

void PeerNode::Handle(const InstanceId& sender, const LeavingMessage& message) {
  {
    const std::lock_guard lock(mutex_);
    roster_.HandleLeaving(sender, message);
  }
  PublishRoster();
}

SelfStatus PeerNode::Status() const {
  SelfStatus status;
  // Read before the sequence: the confirmation of a newer sequence must not be
  // sent with an older one.
  const auto confirmed_at = exchange_.confirmed_at();
  status.sequence = exchange_.sequence();
  status.withdrawals_digest =
      WithdrawalsDigest(holder_.emergency_withdrawals());
  if (confirmed_at) {
    status.confirmation_age =
        std::chrono::ceil<Millis>(clock_() - *confirmed_at);
  }
  return status;
}

void PeerNode::Send(const OutgoingHeartbeat& heartbeat) {
  transport_.SetAddress(heartbeat.to, heartbeat.peer_address);
  transport_.Send(heartbeat.to, heartbeat.message);
}

void PeerNode::SendToGossipTargets(const PeerMessage& message) {
  std::vector<std::pair<InstanceId, std::string>> targets;
  {
    const std::lock_guard lock(mutex_);
    for (const InstanceId& target : roster_.GossipTargets(random_))
      targets.emplace_back(target, roster_.Find(target)->peer_address);
  }
  for (const auto& [target, address] : targets) {
    transport_.SetAddress(target, address);
    transport_.Send(target, message);
  }
}

void PeerNode::FetchChanges(const InstanceId& peer, bool ignore_interval) {
  const SteadyTime now = clock_();
  {
    const std::lock_guard lock(mutex_);
    if (!ignore_interval && now < last_fetch_ + kFetchInterval)
      return;
    last_fetch_ = now;
  }
  const ChangeSequence sequence = exchange_.sequence();
  Log(peer_events::kChangesMissing,
      {{"peer", peer.value()}, {"after", std::to_string(sequence.value())}});
  transport_.Send(peer, ChangeFetchMessage{sequence});
}

void PeerNode::RecordAcknowledgments() {
  const auto keys = holder_.emergency_withdrawals();
  if (keys.empty())
    return;
  const std::uint64_t digest = WithdrawalsDigest(keys);
  const std::lock_guard lock(mutex_);
  for (const RosterMember& member : roster_.Members()) {
    if (member.instance == roster_.self())
      continue;
    Acknowledged& acknowledged = acknowledged_[member.instance];
    if (acknowledged.incarnation != member.incarnation)
      acknowledged = {member.incarnation, {}};
    // The sets only grow, so an instance still holds what it once held.
    if (member.withdrawals_digest == digest)
      acknowledged.keys = keys;
  }
}

void PeerNode::PublishRoster() {
  const std::lock_guard publishing(publish_mutex_);
  std::vector<RosterMember> members;
  std::vector<RosterEvent> events;
  bool changed = false;
  {
    const std::lock_guard lock(mutex_);
    events = roster_.TakeEvents();
    changed = roster_.version() != published_version_;
    published_version_ = roster_.version();
    if (changed)
      members = roster_.Members();
  }
  for (const RosterEvent& event : events)
    Log(LogEventFor(event.kind), {{"instance", event.instance.value()}});
  if (!changed)
    return;
  for (const RosterMember& member : members)
    transport_.SetAddress(member.instance, member.peer_address);
  for (const RosterListener& listener : listeners_)
    listener(members);
}

}  // namespace bamboomount
