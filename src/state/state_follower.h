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
  // 1 s up to 16 instances, 2 s at 350 (175 reads a second over the fleet).
  Millis poll_interval{1000};
  // Each pause is the interval plus or minus this part of it.
  double jitter = 0.2;
  // With the longest pause it stays below the freshness window of 4 s, so that
  // a silent store is noticed before the state turns stale.
  Millis store_timeout{2000};
  BootTime freshness_window = FreshnessRule::kDefaultWindow;
  std::function<BootTime()> now = BootTimeNow;
};

// Keeps the control state of this process up to date: polls the log, takes
// changes that peers push, and tracks freshness. Thread-safe.
class StateFollower {
 public:
  // Told of the last applied sequence when a pushed change leaves a gap.
  using GapListener = std::function<void(ChangeSequence)>;

  StateFollower(ChangeLog& log,
                ControlStateHolder& holder,
                FollowerOptions options);
  ~StateFollower();
  StateFollower(const StateFollower&) = delete;
  StateFollower& operator=(const StateFollower&) = delete;

  // Starts and stops polling in a thread of its own. Stop may wait for a call
  // to the store.
  void Start();
  void Stop();

  // Asks the store once. Fails if it does not answer or the state could not
  // reach the head of the log.
  Result<void> PollOnce();

  // A change that a peer pushed or that this process appended. Changes are put
  // in force in order; one that comes early waits. Only committed changes may
  // be passed.
  void OfferChange(const Change& change);
  // A whole state of a peer; ignored unless it is higher.
  void OfferState(std::shared_ptr<const ControlState> state);
  // Changes after `sequence` for a peer that lacks them; one with the whole
  // state if they are not kept any more. A router that starts while the store
  // is down gets its state this way.
  std::vector<Change> ChangesAfter(ChangeSequence sequence) const;
  // Set it before Start. Runs without locks held.
  void SetGapListener(GapListener listener);

  // See FreshnessRule.
  void OnInstanceList(std::set<InstanceId> instances);
  void OnPeerReport(const InstanceId& peer,
                    const PeerReport& report,
                    BootTime earliest_sent_at);
  Freshness freshness() const;
  std::optional<BootTime> confirmation_age() const;
  // Whether the store answered the last poll; false before the first one.
  bool store_answers() const;

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
  // Why the state cannot follow the log; empty while it can. Logged once.
  std::string catch_up_failure_;

  mutable std::mutex changes_mutex_;
  // Pushed changes whose predecessors are missing.
  std::map<ChangeSequence, Change> pending_;
  // Recent changes in order without gaps.
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
