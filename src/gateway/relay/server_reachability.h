#ifndef GATEWAY_RELAY_SERVER_REACHABILITY_H_
#define GATEWAY_RELAY_SERVER_REACHABILITY_H_

#include <functional>
#include <memory>
#include <optional>
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

  // `on_change` is called when IsCutOff() has changed.
  ServerReachability(asio::io_context& context,
                     GatewayState& state,
                     std::function<void()> on_change);

  // Whether the instance reaches no server. Other instances may.
  bool IsCutOff() const { return evidence_.IsCutOff(); }
  // Whether probes are in progress that may change IsCutOff() to true.
  bool IsDeciding() const { return round_ && !IsCutOff(); }
  // Calls `decided` once when these probes have ended.
  void WhenDecided(std::function<void()> decided) {
    waiting_.push_back(std::move(decided));
  }
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
  void ProbeLater();
  // At most kProbes usable servers, of as many pools and zones as possible.
  std::vector<BackendServer> ServersToProbe();

  asio::io_context& context_;
  GatewayState& state_;
  const std::function<void()> on_change_;
  std::vector<std::function<void()>> waiting_;
  ReachabilityEvidence evidence_;
  // Set while a round is in progress.
  std::optional<Round> round_;
  asio::steady_timer timer_;
  std::minstd_rand random_;
};

}  // namespace bamboomount

#endif  // GATEWAY_RELAY_SERVER_REACHABILITY_H_
