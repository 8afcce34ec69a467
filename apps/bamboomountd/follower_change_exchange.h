#ifndef APPS_BAMBOOMOUNTD_FOLLOWER_CHANGE_EXCHANGE_H_
#define APPS_BAMBOOMOUNTD_FOLLOWER_CHANGE_EXCHANGE_H_

#include "peer/change_exchange.h"
#include "state/state.h"

namespace bamboomount {

// The clock passed to the peer library. It reads CLOCK_BOOTTIME, so that time
// during which the machine is suspended counts towards staleness.
SteadyTime BootSteadyNow();

// Connects the change exchange between peers to the state follower. The
// referenced objects must outlive it. Thread-safe.
class FollowerChangeExchange : public ChangeExchange {
 public:
  FollowerChangeExchange(StateFollower& follower, ControlStateHolder& holder)
      : follower_(follower), holder_(holder) {}

  ChangeSequence sequence() const override;
  std::optional<SteadyTime> confirmed_at() const override;
  std::vector<EncodedChange> ChangesAfter(ChangeSequence after,
                                          std::size_t max_bytes) override;
  void OnChanges(const std::vector<EncodedChange>& changes) override;
  void OnPeerConfirmation(ChangeSequence sequence,
                          SteadyTime confirmed_at) override;

 private:
  StateFollower& follower_;
  ControlStateHolder& holder_;
};

}  // namespace bamboomount

#endif  // APPS_BAMBOOMOUNTD_FOLLOWER_CHANGE_EXCHANGE_H_
