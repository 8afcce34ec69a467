#include "gateway/replication/gossip_exchange.h"

#include <algorithm>
#include <set>
#include <stdexcept>
#include <utility>

#include "gateway/forwarding/endpoint.h"

namespace bamboomount {
namespace {

using udp = asio::ip::udp;

udp::endpoint UdpEndpoint(const std::string& address) {
  const auto endpoint = ParseIpEndpoint(address);
  if (!endpoint)
    throw std::runtime_error("invalid peer address, expected ip:port: " +
                             address);
  return {endpoint->address(), endpoint->port()};
}

}  // namespace

GossipExchange::GossipExchange(asio::io_context& context,
                               GatewayState& state,
                               Incarnation incarnation,
                               GossipHandler& handler)
    : state_(state),
      incarnation_(std::move(incarnation)),
      handler_(handler),
      socket_(context),
      round_timer_(context),
      early_round_timer_(context),
      // Starts above the sequence numbers of an earlier process on this
      // instance, so that peers do not drop the messages as old ones.
      sequence_(static_cast<std::uint64_t>(
          BootClock::now().time_since_epoch().count())),
      random_(std::random_device{}()) {}

void GossipExchange::Start() {
  const std::string& address = state_.settings().peer_address;
  if (address.empty())
    return;
  const udp::endpoint endpoint = UdpEndpoint(address);
  socket_.open(endpoint.protocol());
  socket_.bind(endpoint);
  socket_.non_blocking(true);
  Receive();
  SendRounds();
}

void GossipExchange::Receive() {
  socket_.async_receive_from(asio::buffer(receive_buffer_), sender_,
                             [this](const error_code& error, std::size_t size) {
                               if (error == asio::error::operation_aborted)
                                 return;
                               if (!error)
                                 OnDatagram(size);
                               Receive();
                             });
}

bool GossipExchange::IsFrom(const Member& member) const {
  return !member.peer_address.empty() &&
         UdpEndpoint(member.peer_address) == sender_;
}

void GossipExchange::OnStreamOriginDatagram(std::size_t size) {
  const auto message = DecodeStreamOriginMessage(receive_buffer_.data(), size);
  if (!message || !stream_origin_handler_)
    return;
  const Member* member = state_.members().Find(message.value().sender);
  if (member && IsFrom(*member))
    stream_origin_handler_->OnMessage(message.value(), *member);
}

void GossipExchange::SendStreamOrigins(const Member& target,
                                       const StreamOriginMessage& message) {
  if (!socket_.is_open())
    return;
  error_code ignored;
  socket_.send_to(asio::buffer(EncodeStreamOriginMessage(message)),
                  UdpEndpoint(target.peer_address), 0, ignored);
}

void GossipExchange::OnDatagram(std::size_t size) {
  if (IsStreamOriginMessage(receive_buffer_.data(), size)) {
    OnStreamOriginDatagram(size);
    return;
  }
  auto message = DecodeGossipMessage(receive_buffer_.data(), size);
  if (!message)
    return;
  const InstanceId instance = message.value().instance;
  const Member* member = state_.members().Find(instance);
  if (!member) {
    handler_.OnUnknownSender(instance);
    return;
  }
  if (!IsFrom(*member))
    return;
  const Instant now = BootClock::now();
  PeerState& peer = peers_[instance];
  if (message.value().sequence <= peer.sequence)
    return;
  peer = {message.value().sequence, now};
  state_.members().RecordHeartbeat(instance, message.value().member_status,
                                   now);
  const auto receipt = handler_.OnMessage(std::move(message.value()), *member);
  if (receipt)
    SendReceipt(*receipt, sender_);
}

void GossipExchange::SendRounds() {
  ExpireSilentPeers(BootClock::now());
  SendRound(true);
  if (state_.settings().reports_usage &&
      ++round_count_ % kRoundsPerDutyMessage == 0)
    SendToDutyHolder();
  round_timer_.expires_after(kRoundInterval);
  round_timer_.async_wait([this](const error_code& error) {
    if (!error)
      SendRounds();
  });
}

void GossipExchange::SendEarlyRound() {
  if (!socket_.is_open())
    return;
  early_round_requested_ = early_round_cooldown_;
  if (early_round_cooldown_)
    return;
  early_round_cooldown_ = true;
  SendRound(false);
  early_round_timer_.expires_after(kMinRoundInterval);
  early_round_timer_.async_wait([this](const error_code& error) {
    early_round_cooldown_ = false;
    // All changes of the meantime go into one round.
    if (!error && std::exchange(early_round_requested_, false))
      SendEarlyRound();
  });
}

GossipMessage GossipExchange::NewMessage() {
  GossipMessage message = handler_.BuildMessage();
  message.instance = state_.settings().instance;
  message.sequence = ++sequence_;
  return message;
}

void GossipExchange::SendRound(bool with_loads) {
  GossipMessage message = NewMessage();
  if (with_loads)
    message.loads = state_.loads().LocalLoads();
  const Instant now = BootClock::now();
  if (with_loads && state_.settings().fleet_admission)
    message.demand =
        state_.demand_meter().Report(state_.admission().BusyPools(), now);
  MemberRegistry& members = state_.members();
  if (members.All().size() > kFanout)
    message.heartbeats = members.HeartbeatsToRelay(now);
  members.RecordHeartbeat(message.instance, message.member_status, now);
  Send(message, ChooseTargets());
}

void GossipExchange::SendToDutyHolder() {
  GossipMessage message = NewMessage();
  message.loads = state_.loads().LocalLoads();
  message.usage_update = UnsealedUsage();
  Send(message, DutyTargets(message.holder_statement));
}

void GossipExchange::SendReceipt(const UsageReceipt& receipt,
                                 const udp::endpoint& target) {
  GossipMessage message = NewMessage();
  message.usage_receipt = receipt;
  Send(message, {target});
}

void GossipExchange::Send(const GossipMessage& message,
                          const std::vector<udp::endpoint>& targets) {
  const std::vector<std::uint8_t> bytes = EncodeGossipMessage(message);
  for (const udp::endpoint& target : targets) {
    error_code ignored;
    socket_.send_to(asio::buffer(bytes), target, 0, ignored);
  }
}

std::optional<UsageUpdate> GossipExchange::UnsealedUsage() const {
  IncarnationUsage usage = state_.LocalUsage(BootClock::now());
  if (usage.windows.empty())
    return std::nullopt;
  const UsageDelivery& delivery = state_.usage_delivery();
  usage.windows.erase(usage.windows.begin(),
                      usage.windows.upper_bound(delivery.sealed_through()));
  const bool needs_receipt =
      delivery.delivered_through() < usage.complete_through;
  return UsageUpdate{incarnation_, std::move(usage), needs_receipt};
}

std::vector<udp::endpoint> GossipExchange::ChooseTargets() {
  std::vector<const Member*> others;
  for (const Member* member : state_.members().All()) {
    if (member->instance != state_.settings().instance &&
        !member->peer_address.empty())
      others.push_back(member);
  }
  if (others.size() > kFanout) {
    std::shuffle(others.begin(), others.end(), random_);
    others.resize(kFanout);
  }
  std::vector<udp::endpoint> targets;
  targets.reserve(others.size());
  for (const Member* member : others)
    targets.push_back(UdpEndpoint(member->peer_address));
  return targets;
}

std::vector<udp::endpoint> GossipExchange::DutyTargets(
    const std::optional<HolderStatement>& holder) const {
  const MemberRegistry& members = state_.members();
  std::vector<const Member*> receivers =
      members.FirstCandidates(kDutySuccessors, BootClock::now());
  if (holder)
    receivers.push_back(members.Find(holder->holder));
  std::set<std::string> addresses;
  for (const Member* member : receivers) {
    if (member && member->instance != state_.settings().instance &&
        !member->peer_address.empty())
      addresses.insert(member->peer_address);
  }
  std::vector<udp::endpoint> targets;
  targets.reserve(addresses.size());
  for (const std::string& address : addresses)
    targets.push_back(UdpEndpoint(address));
  return targets;
}

void GossipExchange::ExpireSilentPeers(Instant now) {
  const std::size_t before = peers_.size();
  std::erase_if(peers_, [now](const auto& item) {
    return now - item.second.received_at >= kPeerTimeout;
  });
  if (peers_.size() == before)
    return;
  std::vector<InstanceId> live_peers;
  for (const auto& [instance, peer] : peers_)
    live_peers.push_back(instance);
  handler_.OnPeersExpired(live_peers);
}

}  // namespace bamboomount
