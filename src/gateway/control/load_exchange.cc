#include "gateway/control/load_exchange.h"

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

std::vector<std::uint8_t> EncodeLoadNews(const LoadNews& news) {
  Json loads = Json::object();
  for (const auto& [server, load] : news.loads)
    loads[server.value()] = {load.requests, load.unread_tokens, load.generating,
                             load.long_answers};
  return Json::to_msgpack(Json{{"instance", news.instance.value()},
                               {"sequence", news.sequence},
                               {"loads", std::move(loads)}});
}

Result<LoadNews> DecodeLoadNews(const std::uint8_t* data, std::size_t size) {
  try {
    const Json json = Json::from_msgpack(data, data + size);
    LoadNews news;
    news.instance = InstanceId(json.at("instance").get<std::string>());
    news.sequence = json.at("sequence").get<std::uint64_t>();
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

LoadExchange::LoadExchange(asio::io_context& context, GatewayState& state)
    : state_(state),
      socket_(context),
      timer_(context),
      // Later than that of an earlier process on this instance.
      sequence_(static_cast<std::uint64_t>(
          BootClock::now().time_since_epoch().count())),
      random_(std::random_device{}()) {}

void LoadExchange::Start() {
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

void LoadExchange::Receive() {
  socket_.async_receive_from(asio::buffer(received_), sender_,
                             [this](const error_code& error, std::size_t size) {
                               if (error == asio::error::operation_aborted)
                                 return;
                               if (!error)
                                 OnDatagram(size);
                               Receive();
                             });
}

void LoadExchange::OnDatagram(std::size_t size) {
  auto news = DecodeLoadNews(received_.data(), size);
  if (!news)
    return;
  const Member* member = state_.members().FindAlive(news.value().instance);
  if (!member || member->peer_address.empty() ||
      UdpEndpoint(member->peer_address) != sender_)
    return;
  Heard& heard = heard_[news.value().instance];
  if (news.value().sequence <= heard.sequence)
    return;
  heard = {news.value().sequence, BootClock::now()};
  state_.loads().SetRemote(news.value().instance,
                           std::move(news.value().loads));
}

void LoadExchange::SendRound() {
  const Instant now = BootClock::now();
  ExpireOld(now);
  LoadNews news{state_.settings().instance, ++sequence_,
                state_.loads().OwnLoads()};
  // Idle instances are silent once the others know.
  const bool idle = news.loads.empty();
  if (!idle || !told_idle_) {
    const std::vector<std::uint8_t> bytes = EncodeLoadNews(news);
    for (const std::string& target : ChooseTargets()) {
      error_code ignored;
      socket_.send_to(asio::buffer(bytes), UdpEndpoint(target), 0, ignored);
    }
  }
  told_idle_ = idle;
  timer_.expires_after(kInterval);
  timer_.async_wait([this](const error_code& error) {
    if (!error)
      SendRound();
  });
}

std::vector<std::string> LoadExchange::ChooseTargets() {
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

void LoadExchange::ExpireOld(Instant now) {
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
