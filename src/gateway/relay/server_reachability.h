#ifndef GATEWAY_RELAY_SERVER_REACHABILITY_H_
#define GATEWAY_RELAY_SERVER_REACHABILITY_H_

#include <memory>
#include <random>
#include <set>
#include <vector>

#include "gateway/gateway_state.h"
#include "gateway/internal/asio.h"
#include "gateway/relay/reachability_evidence.h"

namespace bamboomount {

// Knows whether this instance reaches backend servers. Probes several servers
// of different pools and zones, by a connection that is closed again, when
// requests fail in a way that a lost network path would explain, and repeatedly
// while the instance is cut off. Used from the thread of the io_context.
class ServerReachability {
 public:
  static constexpr std::size_t kProbes = 4;
  static constexpr Millis kProbeTimeout{300};
  static constexpr Millis kProbeInterval{200};

  ServerReachability(asio::io_context& context, GatewayState& state);

  // Whether the instance reaches no server. Other instances may.
  bool IsCutOff() const { return evidence_.IsCutOff(); }
  // See ReachabilityEvidence. Each may start a round of probes.
  void RecordSent(Instant now);
  void RecordBytes() { evidence_.RecordBytes(); }
  void RecordFailedConnect(const BackendId& server, Instant now);

 private:
  // The probes that are in progress, and their outcomes.
  struct Round {
    std::set<BackendId> probed;
    std::set<BackendId> answered;
    std::size_t pending = 0;
  };
  struct Probe;

  void ProbeIfSuspicious(Instant now);
  void BeginRound();
  void Connect(const BackendServer& server);
  void OnProbeEnd(const BackendId& server, bool answered);
  void EndRound();
  // At most kProbes usable servers, of as many pools and zones as possible.
  std::vector<BackendServer> ServersToProbe();

  asio::io_context& context_;
  GatewayState& state_;
  ReachabilityEvidence evidence_;
  // Set while a round is in progress.
  std::optional<Round> round_;
  asio::steady_timer timer_;
  std::minstd_rand random_;
};

}  // namespace bamboomount

#endif  // GATEWAY_RELAY_SERVER_REACHABILITY_H_
