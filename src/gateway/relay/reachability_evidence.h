#ifndef GATEWAY_RELAY_REACHABILITY_EVIDENCE_H_
#define GATEWAY_RELAY_REACHABILITY_EVIDENCE_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>

#include "gateway/boot_clock.h"

namespace bamboomount {

// Decides from the outcomes of requests and probes whether this instance has
// lost its network path to all backend servers. Requests alone only make it
// suspect: the servers that they went to may have failed. Probes of several
// servers decide. Not thread-safe.
class ReachabilityEvidence {
 public:
  // Connections to this many servers fail within kFailurePeriod before the
  // instance is suspected to be cut off.
  static constexpr std::size_t kSuspiciousFailures = 2;
  static constexpr Millis kFailurePeriod{1000};
  // No byte from any server for this time, while requests wait for one, is
  // suspicious too. Longer than the pause between events of a busy engine.
  static constexpr Millis kSuspiciousSilence{400};
  // Time after a probe that was answered in which there is no new suspicion.
  static constexpr Millis kTrustPeriod{1000};
  // Servers that must answer before a cut counts as healed.
  static constexpr std::size_t kAnswersToRecover = 2;

  // Records that a request is sent to the server.
  void RecordSent(Instant now);
  // Records that bytes of a server arrived.
  void RecordBytes() { waiting_since_.reset(); }
  // Records that no connection to the server could be set up.
  void RecordFailedConnect(const BackendId& server, Instant now);
  // Whether connections to several servers have just failed.
  bool ConnectsFail(Instant now) const;
  // Whether no server has sent a byte for a suspicious time. Meaningful while
  // several servers have requests of this instance.
  bool IsSilent(Instant now) const;
  // Whether probes were answered so recently that neither is suspicious.
  bool IsTrusted(Instant now) const {
    return trusted_until_ && now < *trusted_until_;
  }

  // Records the outcomes of a round of probes: the servers that were probed and
  // those of them that accepted a connection. Returns whether IsCutOff()
  // changed.
  bool RecordProbes(const std::set<BackendId>& probed,
                    const std::set<BackendId>& answered,
                    Instant now);
  bool IsCutOff() const { return cut_off_; }

 private:
  // The last failed connection to each server.
  std::map<BackendId, Instant> failed_connects_;
  // When the first request was sent after the last bytes that arrived.
  std::optional<Instant> waiting_since_;
  std::optional<Instant> trusted_until_;
  // Servers that have answered while the instance was cut off.
  std::set<BackendId> answered_;
  bool cut_off_ = false;
};

}  // namespace bamboomount

#endif  // GATEWAY_RELAY_REACHABILITY_EVIDENCE_H_
