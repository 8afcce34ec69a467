#ifndef GATEWAY_CONTROL_PEER_EXCHANGE_H_
#define GATEWAY_CONTROL_PEER_EXCHANGE_H_

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "gateway/gateway_state.h"
#include "gateway/internal/asio.h"

namespace bamboomount {

// What one instance tells others several times a second.
struct PeerNews {
  InstanceId instance;
  // Grows with each message, so that one that was overtaken is dropped.
  std::uint64_t sequence = 0;
  // The configuration in force there, and the store's clock at the last moment
  // for which it is known to be the newest.
  ConfigVersion config_version;
  Millis config_confirmed{0};
  // The requests that it has at backend servers.
  std::map<BackendId, BackendLoad> loads;
};

// MessagePack. Decoding fails with kInternal.
std::vector<std::uint8_t> EncodePeerNews(const PeerNews& news);
Result<PeerNews> DecodePeerNews(const std::uint8_t* data, std::size_t size);

// Tells other instances the load that this one puts on backend servers, and how
// fresh its configuration is, by datagrams: old figures are worth nothing, so
// none is sent again. Each round goes to a few instances, however large the
// fleet is. News is taken from the addresses of known instances only.
//
// One instance's look at the store thus confirms the configuration for all that
// have the same version, and an instance that missed a version learns of it.
class PeerExchange {
 public:
  static constexpr Millis kInterval{150};
  // Instances that are told in one round.
  static constexpr std::size_t kFanOut = 10;
  // Figures that were not renewed within this time count no more.
  static constexpr Millis kLifetime{3000};

  // Listens on the instance's peer address; does nothing if it has none.
  // Throws std::runtime_error if the address cannot be used.
  PeerExchange(asio::io_context& context, GatewayState& state);

  // Called when news shows an instance that is not known, or a configuration
  // that is newer than the one in force.
  using Hint = std::function<void()>;
  void OnStranger(Hint hint) { on_stranger_ = std::move(hint); }
  void OnNewerConfig(Hint hint) { on_newer_config_ = std::move(hint); }

  void Start();

 private:
  using udp = asio::ip::udp;
  struct Heard {
    std::uint64_t sequence = 0;
    Instant at;
  };

  void Receive();
  void OnDatagram(std::size_t size);
  void ApplyNews(PeerNews news);
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
  std::minstd_rand random_;
  Hint on_stranger_;
  Hint on_newer_config_;
};

}  // namespace bamboomount

#endif  // GATEWAY_CONTROL_PEER_EXCHANGE_H_
