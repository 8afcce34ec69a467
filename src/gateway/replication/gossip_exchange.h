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
#include "gateway/streams/stream_origin_handler.h"

namespace bamboomount {

// Builds outgoing gossip messages and handles received ones.
class GossipHandler {
 public:
  virtual ~GossipHandler() = default;

  // Returns a message without sender, sequence number, loads and usage; the
  // exchange adds these.
  virtual GossipMessage BuildMessage() = 0;
  // Called for each message from a known instance that is newer than the last
  // one from it. Returns the receipt to send back, if the message needs one.
  virtual std::optional<UsageReceipt> OnMessage(GossipMessage message,
                                                const Member& sender) = 0;
  // A message came from an instance that has no row in the store, as far as
  // this instance knows.
  virtual void OnUnknownSender(const InstanceId& instance) = 0;
  // At least one peer has sent no message for kPeerTimeout; `live_peers` are
  // those that have.
  virtual void OnPeersExpired(const std::vector<InstanceId>& live_peers) = 0;
};

// Exchanges gossip messages with other instances by UDP datagrams. Lost
// messages are not resent, since the next round supersedes them. Each round
// goes to at most kFanout instances, whatever the size of the fleet. Messages
// are accepted only from the peer addresses of known instances. Runs on the
// thread of the io_context.
class GossipExchange {
 public:
  static constexpr Millis kRoundInterval{150};
  // Maximum number of instances that receive one round.
  static constexpr std::size_t kFanout = 10;
  // A peer from which no message arrived within this time counts as silent.
  static constexpr Millis kPeerTimeout{3000};
  // Once in this many rounds, loads and usage go to the holder of the duty
  // lease, which orders backend servers by them, and to the kDutySuccessors
  // instances that come first as its successors.
  static constexpr int kRoundsPerDutyMessage = 3;
  static constexpr std::size_t kDutySuccessors = 3;
  // Minimum time between two early rounds.
  static constexpr Millis kMinRoundInterval{30};

  GossipExchange(asio::io_context& context,
                 GatewayState& state,
                 Incarnation incarnation,
                 GossipHandler& handler);

  // Listens on the peer address in the settings and starts the rounds; does
  // nothing if the address is empty. Throws std::runtime_error if the address
  // cannot be used.
  void Start();
  // Sends a round without loads and usage at once, or after kMinRoundInterval
  // if the last early round is more recent than that. Does nothing before
  // Start() or without a peer address.
  void SendEarlyRound();
  // `handler` gets the messages about streams, which share the socket with the
  // gossip messages; without one they are dropped. It must outlive this object.
  void SetStreamOriginHandler(StreamOriginHandler& handler) {
    stream_origin_handler_ = &handler;
  }
  // Sends one datagram, which may be lost. Does nothing before Start().
  void SendStreamOrigins(const Member& target,
                         const StreamOriginMessage& message);

 private:
  using udp = asio::ip::udp;
  // The last message accepted from a peer.
  struct PeerState {
    std::uint64_t sequence = 0;
    Instant received_at;
  };

  void Receive();
  void OnDatagram(std::size_t size);
  void OnStreamOriginDatagram(std::size_t size);
  // Whether the datagram that was just received comes from the instance.
  bool IsFrom(const Member& member) const;
  void SendRounds();
  // A message with sender and sequence number.
  GossipMessage NewMessage();
  void SendRound(bool with_loads);
  void SendToDutyHolder();
  void SendReceipt(const UsageReceipt& receipt, const udp::endpoint& target);
  void Send(const GossipMessage& message,
            const std::vector<udp::endpoint>& targets);
  // This process's usage of all windows that are not sealed; empty if it has
  // served no customer.
  std::optional<UsageUpdate> UnsealedUsage() const;
  void ExpireSilentPeers(Instant now);
  // Peer addresses of at most kFanout random instances.
  std::vector<udp::endpoint> ChooseTargets();
  // Peer addresses of the holder of the duty lease and of its successors.
  std::vector<udp::endpoint> DutyTargets(
      const std::optional<HolderStatement>& holder) const;

  GatewayState& state_;
  const Incarnation incarnation_;
  GossipHandler& handler_;
  StreamOriginHandler* stream_origin_handler_ = nullptr;
  udp::socket socket_;
  asio::steady_timer round_timer_;
  asio::steady_timer early_round_timer_;
  // In bytes; a longer datagram is truncated and then dropped as malformed.
  std::array<std::uint8_t, 32768> receive_buffer_{};
  udp::endpoint sender_;
  std::map<InstanceId, PeerState> peers_;
  std::uint64_t sequence_;
  int round_count_ = 0;
  // An early round was sent within kMinRoundInterval, and another one was
  // requested since.
  bool early_round_cooldown_ = false;
  bool early_round_requested_ = false;
  std::minstd_rand random_;
};

}  // namespace bamboomount

#endif  // GATEWAY_REPLICATION_GOSSIP_EXCHANGE_H_
