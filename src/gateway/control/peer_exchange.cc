#include "gateway/control/peer_exchange.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "gateway/forwarding/endpoint.h"

namespace bamboomount {
namespace {

using Json = nlohmann::json;
using udp = asio::ip::udp;

udp::endpoint UdpEndpoint(const std::string& address) {
  const auto endpoint = ParseIpEndpoint(address);
  if (!endpoint)
    throw std::runtime_error("not an address: " + address);
  return {endpoint->address(), endpoint->port()};
}

}  // namespace

std::vector<std::uint8_t> EncodePeerNews(const PeerNews& news) {
  Json loads = Json::object();
  for (const auto& [server, load] : news.loads)
    loads[server.value()] = {load.requests, load.unread_tokens, load.generating,
                             load.long_answers};
  return Json::to_msgpack(Json{{"instance", news.instance.value()},
                               {"sequence", news.sequence},
                               {"config", news.config_version.value()},
                               {"confirmed_ms", news.config_confirmed.count()},
                               {"loads", std::move(loads)}});
}

Result<PeerNews> DecodePeerNews(const std::uint8_t* data, std::size_t size) {
  try {
    const Json json = Json::from_msgpack(data, data + size);
    PeerNews news;
    news.instance = InstanceId(json.at("instance").get<std::string>());
    news.sequence = json.at("sequence").get<std::uint64_t>();
    news.config_version = ConfigVersion(json.at("config").get<std::uint64_t>());
    news.config_confirmed = Millis(json.at("confirmed_ms").get<std::int64_t>());
    for (const auto& [server, load] : json.at("loads").items()) {
      news.loads[BackendId(server)] = {
          load.at(0).get<int>(), load.at(1).get<std::int64_t>(),
          load.at(2).get<int>(), load.at(3).get<int>()};
    }
    return news;
  } catch (const std::exception& error) {
    return Error{ErrorCode::kInternal,
                 RunVerdict::kNotRun,
                 std::string("news of loads cannot be read: ") + error.what(),
                 {}};
  }
}

PeerExchange::PeerExchange(asio::io_context& context, GatewayState& state)
    : state_(state),
      socket_(context),
      timer_(context),
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
  SendRound();
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
  const Member* member = state_.members().FindAlive(news.value().instance);
  if (!member) {
    if (on_stranger_)
      on_stranger_();
    return;
  }
  if (!member->peer_address.empty() &&
      UdpEndpoint(member->peer_address) == sender_)
    ApplyNews(std::move(news.value()));
}

void PeerExchange::ApplyNews(PeerNews news) {
  const Instant now = BootClock::now();
  Heard& heard = heard_[news.instance];
  if (news.sequence <= heard.sequence)
    return;
  heard = {news.sequence, now};
  state_.members().NoteHeard(news.instance, now);
  const ConfigVersion own =
      state_.policy() ? state_.policy()->version() : ConfigVersion();
  if (news.config_version == own)
    state_.freshness().ConfirmByPeer(news.config_confirmed, now);
  else if (news.config_version > own && on_newer_config_)
    on_newer_config_();
  state_.loads().SetRemote(news.instance, std::move(news.loads));
}

void PeerExchange::SendRound() {
  const Instant now = BootClock::now();
  ExpireOld(now);
  PeerNews news;
  news.instance = state_.settings().instance;
  news.sequence = ++sequence_;
  if (state_.policy())
    news.config_version = state_.policy()->version();
  news.config_confirmed =
      state_.freshness().ConfirmedStoreTime().value_or(Millis(0));
  news.loads = state_.loads().OwnLoads();
  const std::vector<std::uint8_t> bytes = EncodePeerNews(news);
  for (const std::string& target : ChooseTargets()) {
    error_code ignored;
    socket_.send_to(asio::buffer(bytes), UdpEndpoint(target), 0, ignored);
  }
  timer_.expires_after(kInterval);
  timer_.async_wait([this](const error_code& error) {
    if (!error)
      SendRound();
  });
}

std::vector<std::string> PeerExchange::ChooseTargets() {
  std::vector<std::string> targets;
  for (const Member* member : state_.members().Alive()) {
    if (member->instance != state_.settings().instance &&
        !member->peer_address.empty())
      targets.push_back(member->peer_address);
  }
  if (targets.size() > kFanOut) {
    std::shuffle(targets.begin(), targets.end(), random_);
    targets.resize(kFanOut);
  }
  return targets;
}

void PeerExchange::ExpireOld(Instant now) {
  std::vector<InstanceId> current;
  for (const auto& [instance, heard] : heard_) {
    if (now - heard.at < kLifetime)
      current.push_back(instance);
  }
  if (current.size() == heard_.size())
    return;
  state_.loads().KeepRemotes(current);
  std::erase_if(heard_, [now](const auto& item) {
    return now - item.second.at >= kLifetime;
  });
}

}  // namespace bamboomount
