#ifndef GATEWAY_REPLICATION_GOSSIP_EXCHANGE_H_
#define GATEWAY_REPLICATION_GOSSIP_EXCHANGE_H_

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "gateway/gateway_state.h"
#include "gateway/internal/asio.h"
#include "gateway/replication/gossip_message.h"

namespace bamboomount {

// What is told to other instances, and what is done with what they tell.
class GossipHandler {
 public:
  virtual ~GossipHandler() = default;

  // Everything but the sender and the sequence number.
  virtual GossipMessage BuildMessage() = 0;
  virtual void OnMessage(GossipMessage message, const Member& sender) = 0;
  // News came from an instance that has no row.
  virtual void OnUnknownSender(const InstanceId& instance) = 0;
  // Instances other than `heard` told nothing for a while.
  virtual void OnPeersExpired(const std::vector<InstanceId>& live_peers) = 0;
};

// Sends message to other instances and receives theirs by datagrams: old
// message is worth nothing, so none is sent again. Each round goes to a few
// instances, however large the fleet is. News is taken from the addresses of
// known instances only.
class GossipExchange {
 public:
  static constexpr Millis kRoundInterval{150};
  // Instances that are told in one round.
  static constexpr std::size_t kFanout = 10;
  // News that was not renewed within this time counts no more.
  static constexpr Millis kPeerTimeout{3000};
  // In each round out of so many, usage is told, and the holder of the duty
  // lease is among those who hear it.
  static constexpr int kRoundsPerUsageMessage = 3;
  // Shortest time between two rounds.
  static constexpr Millis kMinRoundInterval{30};

  GossipExchange(asio::io_context& context,
                 GatewayState& state,
                 Incarnation incarnation,
                 GossipHandler& handler);

  // Listens on the instance's peer address; does nothing if it has none.
  // Throws std::runtime_error if the address cannot be used.
  void Start();
  // There is something new that others should know at once.
  void SendEarlyRound();

 private:
  using udp = asio::ip::udp;
  struct PeerState {
    std::uint64_t sequence = 0;
    Instant received_at;
  };

  void Receive();
  void OnDatagram(std::size_t size);
  void SendRounds();
  void SendMessage(bool with_loads, bool with_usage);
  // The window that ended last and the one that goes on; empty if nothing ran
  // at this process's word.
  std::optional<UsageUpdate> RecentUsage() const;
  void ExpireSilentPeers(Instant now);
  // Addresses of the instances that are told in this round; `required_target`
  // is among them if it is another instance.
  std::vector<std::string> ChooseTargets(
      const std::optional<InstanceId>& required_target);

  GatewayState& state_;
  const Incarnation incarnation_;
  GossipHandler& handler_;
  udp::socket socket_;
  asio::steady_timer round_timer_;
  asio::steady_timer early_round_timer_;
  std::array<std::uint8_t, 32768> receive_buffer_{};
  udp::endpoint sender_;
  std::map<InstanceId, PeerState> peers_;
  std::uint64_t sequence_;
  int round_count_ = 0;
  // A round was sent a moment ago, and more has come up since.
  bool early_round_cooldown_ = false;
  bool early_round_requested_ = false;
  std::minstd_rand random_;
};

}  // namespace bamboomount

#endif  // GATEWAY_REPLICATION_GOSSIP_EXCHANGE_H_
