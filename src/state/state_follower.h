#ifndef STATE_STATE_FOLLOWER_H_
#define STATE_STATE_FOLLOWER_H_

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "base/base.h"
#include "state/change_log.h"
#include "state/control_state_holder.h"
#include "state/freshness_rule.h"

namespace bamboomount {

struct FollowerOptions {
  InstanceId self;
  // 1 s suits up to 16 instances. At 350 instances use 2 s, which is 175 reads
  // per second over the fleet.
  Millis poll_interval{1000};
  // Fraction of the interval by which each delay may be shorter or longer.
  double jitter = 0.2;
  // Time limit of a poll. Together with the longest delay between polls it must
  // stay below the freshness window of 4 s, so that an unavailable store is
  // detected before the state becomes stale.
  Millis store_timeout{2000};
  BootTime freshness_window = FreshnessRule::kDefaultWindow;
  std::function<BootTime()> now = BootTimeNow;
};

// Keeps the control state of this process up to date: polls the log, applies
// changes pushed by peers, and tracks freshness. Thread-safe.
class StateFollower {
 public:
  // Receives the last applied sequence when a pushed change leaves a gap.
  using GapListener = std::function<void(ChangeSequence)>;

  StateFollower(ChangeLog& log,
                ControlStateHolder& holder,
                FollowerOptions options);
  ~StateFollower();
  StateFollower(const StateFollower&) = delete;
  StateFollower& operator=(const StateFollower&) = delete;

  // Starts and stops a polling thread. Stop waits for a store call in progress
  // to end.
  void Start();
  void Stop();

  // Polls the store once. Fails if the store does not respond or the state
  // could not reach the head of the log.
  Result<void> PollOnce();

  // Accepts a change that a peer pushed or that this process appended. Changes
  // are applied in order; one that arrives early is held until its predecessors
  // are applied. `change` must be committed.
  void OfferChange(const Change& change);
  // Accepts the full state of a peer; ignored unless its sequence is higher.
  void OfferState(std::shared_ptr<const ControlState> state);
  // Returns the changes after `sequence` for a peer that lacks them, or a
  // single StateSnapshot if they are no longer retained. A router that starts
  // while the store is down gets its state this way.
  std::vector<Change> ChangesAfter(ChangeSequence sequence) const;
  // Must be called before Start. The listener runs without locks held.
  void SetGapListener(GapListener listener);

  // See FreshnessRule.
  void OnInstanceList(std::set<InstanceId> instances);
  void OnPeerReport(const InstanceId& peer,
                    const PeerReport& report,
                    BootTime earliest_sent_at);
  Freshness freshness() const;
  std::optional<BootTime> confirmation_age() const;
  // Whether the store responded to the last poll; false before the first poll.
  bool store_reachable() const;

 private:
  void Run();
  Millis NextPollDelay();
  bool ApplyNextPendingChange();
  void OfferSnapshot(const Change& change, const StateSnapshot& body);
  void Advance(std::shared_ptr<const ControlState> state);
  void RetainRecentChange(const Change& change);
  void RecordPollResult(const Result<CatchUpResult>& caught_up,
                        BootTime requested_at);
  void RecordCatchUpFailure(const Result<CatchUpResult>& caught_up);

  ChangeLog& log_;
  ControlStateHolder& holder_;
  const FollowerOptions options_;
  GapListener gap_listener_ = [](ChangeSequence) {};

  mutable std::mutex rule_mutex_;
  FreshnessRule rule_;
  bool store_reachable_ = false;
  bool store_unavailable_ = false;
  // Reason that the state cannot follow the log; empty while it can. Kept so
  // that each reason is logged only once.
  std::string catch_up_failure_;

  mutable std::mutex changes_mutex_;
  // Pushed changes whose predecessors are missing.
  std::map<ChangeSequence, Change> pending_;
  // Recent changes in sequence order, without gaps.
  std::deque<Change> recent_;

  std::mutex run_mutex_;
  std::condition_variable wake_;
  bool stopping_ = false;
  bool gap_detected_ = false;
  std::mt19937_64 random_{std::random_device()()};
  std::thread thread_;
};

}  // namespace bamboomount

#endif  // STATE_STATE_FOLLOWER_H_
