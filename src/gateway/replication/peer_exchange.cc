#include "gateway/replication/peer_exchange.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "gateway/forwarding/endpoint.h"

namespace bamboomount {
namespace {

using udp = asio::ip::udp;

udp::endpoint UdpEndpoint(const std::string& address) {
  const auto endpoint = ParseIpEndpoint(address);
  if (!endpoint)
    throw std::runtime_error("not an address: " + address);
  return {endpoint->address(), endpoint->port()};
}

}  // namespace

PeerExchange::PeerExchange(asio::io_context& context,
                           GatewayState& state,
                           Incarnation incarnation,
                           PeerNewsHandler& handler)
    : state_(state),
      incarnation_(std::move(incarnation)),
      handler_(handler),
      socket_(context),
      round_timer_(context),
      soon_timer_(context),
      // Later than that of an earlier process on this instance.
      sequence_(static_cast<std::uint64_t>(
          BootClock::now().time_since_epoch().count())),
      random_(std::random_device{}()) {}

void PeerExchange::Start() {
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

void PeerExchange::Receive() {
  socket_.async_receive_from(asio::buffer(received_), sender_,
                             [this](const error_code& error, std::size_t size) {
                               if (error == asio::error::operation_aborted)
                                 return;
                               if (!error)
                                 OnDatagram(size);
                               Receive();
                             });
}

void PeerExchange::OnDatagram(std::size_t size) {
  auto news = DecodePeerNews(received_.data(), size);
  if (!news)
    return;
  const InstanceId instance = news.value().instance;
  const Member* member = state_.members().Find(instance);
  if (!member) {
    handler_.OnStranger(instance);
    return;
  }
  if (member->peer_address.empty() ||
      UdpEndpoint(member->peer_address) != sender_)
    return;
  const Instant now = BootClock::now();
  Heard& heard = heard_[instance];
  if (news.value().sequence <= heard.sequence)
    return;
  heard = {news.value().sequence, now};
  state_.members().RecordHeartbeat(instance, news.value().signs, now);
  handler_.OnNews(std::move(news.value()), *member);
}

void PeerExchange::SendRounds() {
  ExpireOld(BootClock::now());
  SendNews(true,
           state_.settings().reports_usage && ++rounds_ % kUsageRounds == 0);
  round_timer_.expires_after(kInterval);
  round_timer_.async_wait([this](const error_code& error) {
    if (!error)
      SendRounds();
  });
}

void PeerExchange::SendSoon() {
  if (!socket_.is_open())
    return;
  more_ = soon_;
  if (soon_)
    return;
  soon_ = true;
  SendNews(false, false);
  soon_timer_.expires_after(kShortestInterval);
  soon_timer_.async_wait([this](const error_code& error) {
    soon_ = false;
    // What came up meanwhile is told together.
    if (!error && std::exchange(more_, false))
      SendSoon();
  });
}

void PeerExchange::SendNews(bool with_loads, bool with_usage) {
  PeerNews news = handler_.DescribeNews();
  news.instance = state_.settings().instance;
  news.sequence = ++sequence_;
  if (with_loads)
    news.loads = state_.loads().LocalLoads();
  std::optional<InstanceId> surely;
  if (with_usage) {
    news.usage = DescribeUsage();
    if (news.holder)
      surely = news.holder->holder;
  }
  state_.members().RecordHeartbeat(news.instance, news.signs, BootClock::now());
  const std::vector<std::uint8_t> bytes = EncodePeerNews(news);
  for (const std::string& target : ChooseTargets(surely)) {
    error_code ignored;
    socket_.send_to(asio::buffer(bytes), UdpEndpoint(target), 0, ignored);
  }
}

std::optional<UsageStatement> PeerExchange::DescribeUsage() const {
  IncarnationUsage part = state_.LocalUsage(BootClock::now());
  part.windows.erase(part.windows.begin(),
                     part.windows.lower_bound(part.complete_through));
  if (part.windows.empty())
    return std::nullopt;
  return UsageStatement{incarnation_, std::move(part)};
}

std::vector<std::string> PeerExchange::ChooseTargets(
    const std::optional<InstanceId>& surely) {
  std::vector<const Member*> others;
  for (const Member* member : state_.members().All()) {
    if (member->instance != state_.settings().instance &&
        !member->peer_address.empty())
      others.push_back(member);
  }
  if (others.size() > kFanOut) {
    std::shuffle(others.begin(), others.end(), random_);
    if (surely)
      std::partition(others.begin(), others.end(),
                     [&surely](const Member* member) {
                       return member->instance == *surely;
                     });
    others.resize(kFanOut);
  }
  std::vector<std::string> targets;
  targets.reserve(others.size());
  for (const Member* member : others)
    targets.push_back(member->peer_address);
  return targets;
}

void PeerExchange::ExpireOld(Instant now) {
  const std::size_t before = heard_.size();
  std::erase_if(heard_, [now](const auto& item) {
    return now - item.second.at >= kLifetime;
  });
  if (heard_.size() == before)
    return;
  std::vector<InstanceId> current;
  for (const auto& [instance, heard] : heard_)
    current.push_back(instance);
  handler_.OnSilence(current);
}

}  // namespace bamboomount
