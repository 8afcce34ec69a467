#ifndef GATEWAY_REPLICATION_PEER_EXCHANGE_H_
#define GATEWAY_REPLICATION_PEER_EXCHANGE_H_

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "gateway/gateway_state.h"
#include "gateway/internal/asio.h"
#include "gateway/replication/peer_news.h"

namespace bamboomount {

// What is told to other instances, and what is done with what they tell.
class PeerNewsHandler {
 public:
  virtual ~PeerNewsHandler() = default;

  // Everything but the sender and the sequence number.
  virtual PeerNews DescribeNews() = 0;
  virtual void OnNews(PeerNews news, const Member& sender) = 0;
  // News came from an instance that has no row.
  virtual void OnStranger(const InstanceId& instance) = 0;
  // Instances other than `heard` told nothing for a while.
  virtual void OnSilence(const std::vector<InstanceId>& heard) = 0;
};

// Sends news to other instances and receives theirs by datagrams: old news is
// worth nothing, so none is sent again. Each round goes to a few instances,
// however large the fleet is. News is taken from the addresses of known
// instances only.
class PeerExchange {
 public:
  static constexpr Millis kInterval{150};
  // Instances that are told in one round.
  static constexpr std::size_t kFanOut = 10;
  // News that was not renewed within this time counts no more.
  static constexpr Millis kLifetime{3000};
  // In each round out of so many, usage is told, and the holder of the duty
  // lease is among those who hear it.
  static constexpr int kUsageRounds = 3;
  // Shortest time between two rounds.
  static constexpr Millis kShortestInterval{30};

  PeerExchange(asio::io_context& context,
               GatewayState& state,
               Incarnation incarnation,
               PeerNewsHandler& handler);

  // Listens on the instance's peer address; does nothing if it has none.
  // Throws std::runtime_error if the address cannot be used.
  void Start();
  // There is something new that others should know at once.
  void SendSoon();

 private:
  using udp = asio::ip::udp;
  struct Heard {
    std::uint64_t sequence = 0;
    Instant at;
  };

  void Receive();
  void OnDatagram(std::size_t size);
  void SendRounds();
  void SendNews(bool with_loads, bool with_usage);
  // The window that ended last and the one that goes on; empty if nothing ran
  // at this process's word.
  std::optional<UsageStatement> DescribeUsage() const;
  void ExpireOld(Instant now);
  // Addresses of the instances that are told in this round; `surely` is among
  // them if it is another instance.
  std::vector<std::string> ChooseTargets(
      const std::optional<InstanceId>& surely);

  GatewayState& state_;
  const Incarnation incarnation_;
  PeerNewsHandler& handler_;
  udp::socket socket_;
  asio::steady_timer round_timer_;
  asio::steady_timer soon_timer_;
  std::array<std::uint8_t, 32768> received_{};
  udp::endpoint sender_;
  std::map<InstanceId, Heard> heard_;
  std::uint64_t sequence_;
  int rounds_ = 0;
  // A round was sent a moment ago, and more has come up since.
  bool soon_ = false;
  bool more_ = false;
  std::minstd_rand random_;
};

}  // namespace bamboomount

#endif  // GATEWAY_REPLICATION_PEER_EXCHANGE_H_
