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

// The control state that is in force in this process. Moves forward only.
// Thread-safe.
class ControlStateHolder {
 public:
  using Listener =
      std::function<void(const std::shared_ptr<const ControlState>&)>;

  std::shared_ptr<const ControlState> current() const;

  // Puts `state` in force; returns false and keeps the current one unless the
  // sequence of `state` is higher. Listeners run before it returns.
  bool Advance(std::shared_ptr<const ControlState> state);

  // Keys withdrawn through peers while the store is down; grow-only. A key in
  // this set is refused even if the control state still lists it as granted.
  // Returns the ids that were new.
  std::set<KeyId> AddEmergencyWithdrawals(const std::set<KeyId>& keys);
  std::set<KeyId> emergency_withdrawals() const;
  bool IsEmergencyWithdrawn(const KeyId& key) const;

  // `listener` runs after each advance and each new emergency withdrawal. Add
  // listeners before other threads use the holder.
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
