#ifndef GATEWAY_CONTROL_LOAD_EXCHANGE_H_
#define GATEWAY_CONTROL_LOAD_EXCHANGE_H_

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "gateway/gateway_state.h"
#include "gateway/internal/asio.h"

namespace bamboomount {

// The requests that one instance has at backend servers, as it tells others.
struct LoadNews {
  InstanceId instance;
  // Grows with each message, so that one that was overtaken is dropped.
  std::uint64_t sequence = 0;
  std::map<BackendId, BackendLoad> loads;
};

// MessagePack. Decoding fails with kInternal.
std::vector<std::uint8_t> EncodeLoadNews(const LoadNews& news);
Result<LoadNews> DecodeLoadNews(const std::uint8_t* data, std::size_t size);

// Tells other instances the load that this one puts on backend servers, by
// datagrams: old figures are worth nothing, so none is sent again. Each round
// goes to a few instances, however large the fleet is. News only shifts where
// requests are placed, and is taken from the addresses of known instances only.
class LoadExchange {
 public:
  static constexpr Millis kInterval{150};
  // Instances that are told in one round.
  static constexpr std::size_t kFanOut = 10;
  // Figures that were not renewed within this time count no more.
  static constexpr Millis kLifetime{3000};

  // Listens on the instance's peer address; does nothing if it has none.
  // Throws std::runtime_error if the address cannot be used.
  LoadExchange(asio::io_context& context, GatewayState& state);

  void Start();

 private:
  using udp = asio::ip::udp;
  struct Heard {
    std::uint64_t sequence = 0;
    Instant at;
  };

  void Receive();
  void OnDatagram(std::size_t size);
  void SendRound();
  void ExpireOld(Instant now);
  // Addresses of the instances that are told in this round.
  std::vector<std::string> ChooseTargets();

  GatewayState& state_;
  udp::socket socket_;
  asio::steady_timer timer_;
  std::array<std::uint8_t, 16384> received_{};
  udp::endpoint sender_;
  std::map<InstanceId, Heard> heard_;
  std::uint64_t sequence_;
  // The last round told of no load.
  bool told_idle_ = false;
  std::minstd_rand random_;
};

}  // namespace bamboomount

#endif  // GATEWAY_CONTROL_LOAD_EXCHANGE_H_
