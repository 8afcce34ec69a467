#ifndef STATE_CONTROL_STATE_HOLDER_H_
#define STATE_CONTROL_STATE_HOLDER_H_

#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <vector>

#include "base/base.h"
#include "state/control_state.h"

namespace bamboomount {

// Holds the control state in force in this process. Its sequence never
// decreases. Thread-safe, except for AddListener.
class ControlStateHolder {
 public:
  using Listener =
      std::function<void(const std::shared_ptr<const ControlState>&)>;

  std::shared_ptr<const ControlState> current() const;

  // Replaces the current state if the sequence of `state` is higher; otherwise
  // returns false and changes nothing. Listeners run in the calling thread
  // before it returns.
  bool Advance(std::shared_ptr<const ControlState> state);

  // Adds keys that were withdrawn through peers while the store is down. The
  // set only grows. A key in it is rejected even if the control state still
  // lists it as granted. Returns the ids that were not in the set before.
  std::set<KeyId> AddEmergencyWithdrawals(const std::set<KeyId>& keys);
  std::set<KeyId> emergency_withdrawals() const;
  bool IsEmergencyWithdrawn(const KeyId& key) const;

  // Registers a callback that runs, without locks held, after each change of
  // the state and each new emergency withdrawal. Not thread-safe: add listeners
  // before other threads use the holder.
  void AddListener(Listener listener);

 private:
  void NotifyListeners();

  mutable std::mutex mutex_;
  std::shared_ptr<const ControlState> current_ =
      std::make_shared<const ControlState>();
  std::set<KeyId> emergency_withdrawals_;
  std::vector<Listener> listeners_;
};

}  // namespace bamboomount

#endif  // STATE_CONTROL_STATE_HOLDER_H_
