#ifndef STATE_FRESHNESS_RULE_H_
#define STATE_FRESHNESS_RULE_H_

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string_view>

#include "base/base.h"

namespace bamboomount {

// Time since boot as returned by BootTimeNow(), including time suspended: a
// router that resumes must not treat its old state as fresh.
using BootTime = std::chrono::nanoseconds;

// Basis on which a router may serve requests that carry a key.
enum class Freshness {
  // A comparison with the store confirmed the state within the window.
  kConfirmed,
  // The store is unavailable, and this router and the peers whose messages were
  // sent within the window form a strict majority of the last known instances.
  kMajority,
  // Neither holds. Requests that carry a key are rejected with verdict kNotRun.
  kStale,
};

std::string_view ToString(Freshness freshness);

// Replica status of a peer, as the peer reports it.
struct PeerReport {
  ChangeSequence sequence;
  // Age of the peer's newest confirmation when it sent the message.
  std::optional<BootTime> confirmation_age;
};

// Decides whether the control state is fresh (docs/design.md, section 6). All
// times are passed in by the caller. Not thread-safe.
class FreshnessRule {
 public:
  static constexpr BootTime kDefaultWindow = std::chrono::seconds(4);

  explicit FreshnessRule(InstanceId self, BootTime window = kDefaultWindow)
      : self_(std::move(self)), window_(window) {}

  // The store reported `head` as the end of the log in response to a request
  // sent at `requested_at`. Confirms, as of that time, states that have reached
  // `head`.
  void OnStoreResponse(ChangeSequence head, BootTime requested_at);
  // The store did not respond to the last request.
  void OnStoreUnavailable();
  // Replaces the list of instances, as obtained from the platform; it includes
  // this instance.
  void OnInstanceList(std::set<InstanceId> instances);
  // A message of `peer` arrived. `earliest_sent_at` is a lower bound of the
  // time it was sent, for example when this router sent the message that it
  // responds to. The time of receipt cannot be used, since a message may wait
  // long at a receiver that was paused.
  void OnPeerReport(const InstanceId& peer,
                    const PeerReport& report,
                    BootTime earliest_sent_at);

  // Returns the freshness of a state at `sequence`.
  Freshness Check(ChangeSequence sequence, BootTime now) const;
  // Returns the age of the newest confirmation that is valid for `sequence`;
  // empty without one. A router reports it to its peers.
  std::optional<BootTime> ConfirmationAge(ChangeSequence sequence,
                                          BootTime now) const;

 private:
  struct Confirmation {
    ChangeSequence sequence;
    BootTime time;
  };
  struct PeerContact {
    ChangeSequence sequence;
    BootTime time;
  };

  void AddConfirmation(Confirmation confirmation);
  bool HasMajority(ChangeSequence sequence, BootTime now) const;

  InstanceId self_;
  BootTime window_;
  bool store_unavailable_ = false;
  // Highest sequence reported by the store or a peer.
  ChangeSequence highest_known_sequence_;
  // Newest confirmation time by sequence; an entry is valid for states at or
  // past its sequence. Times increase with sequences.
  std::map<ChangeSequence, BootTime> confirmations_;
  std::set<InstanceId> instances_;
  std::map<InstanceId, PeerContact> last_contacts_;
};

}  // namespace bamboomount

#endif  // STATE_FRESHNESS_RULE_H_
