#ifndef STATE_FRESHNESS_RULE_H_
#define STATE_FRESHNESS_RULE_H_

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string_view>

#include "base/base.h"

namespace bamboomount {

// Time by BootTimeNow(), which also counts while the machine is suspended: a
// router that wakes up must not take its old state for fresh.
using BootTime = std::chrono::nanoseconds;

// On what basis a router may serve requests that carry a key.
enum class Freshness {
  // The state was confirmed against the store within the window.
  kConfirmed,
  // The store does not answer, and a strict majority of the last known
  // instances was heard within the window.
  kMajority,
  // Neither holds; such requests are refused as not run.
  kStale,
};

std::string_view ToString(Freshness freshness);

// What a peer says about its own state.
struct PeerReport {
  ChangeSequence sequence;
  // Age of the peer's own confirmation when it sent the message.
  std::optional<BootTime> confirmation_age;
};

// Decides whether the control state is fresh (docs/design.md, section 6). Times
// are passed in. Not thread-safe.
class FreshnessRule {
 public:
  static constexpr BootTime kDefaultWindow = std::chrono::seconds(4);

  explicit FreshnessRule(InstanceId self, BootTime window = kDefaultWindow)
      : self_(std::move(self)), window_(window) {}

  // The store named `head` as the end of the log in answer to a question sent
  // at `requested_at`. It confirms the state once that has reached `head`.
  void OnStoreResponse(ChangeSequence head, BootTime requested_at);
  // The store did not answer the last question.
  void OnStoreUnavailable();
  // The platform's list of instances, this one included.
  void OnInstanceList(std::set<InstanceId> instances);
  // A message of `peer` arrived. `earliest_sent_at` is a time before which it
  // cannot have been sent, for example when this router sent the message that
  // it answers; a message may wait long at a receiver that was paused.
  void OnPeerReport(const InstanceId& peer,
                    const PeerReport& report,
                    BootTime earliest_sent_at);

  // For a router whose state is at `sequence`.
  Freshness Check(ChangeSequence sequence, BootTime now) const;
  // Age of the newest confirmation that holds for `sequence`, which a router
  // passes on to its peers.
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
  // Highest sequence that is known to exist.
  ChangeSequence highest_known_sequence_;
  // Newest confirmation by sequence; an entry counts for states at or past its
  // sequence. Later entries have later times.
  std::map<ChangeSequence, BootTime> confirmations_;
  std::set<InstanceId> instances_;
  std::map<InstanceId, PeerContact> last_contacts_;
};

}  // namespace bamboomount

#endif  // STATE_FRESHNESS_RULE_H_
