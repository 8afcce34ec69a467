#include "state/control_state_holder.h"

#include <utility>

namespace bamboomount {

std::shared_ptr<const ControlState> ControlStateHolder::current() const {
  const std::lock_guard lock(mutex_);
  return current_;
}

bool ControlStateHolder::Advance(std::shared_ptr<const ControlState> state) {
  {
    const std::lock_guard lock(mutex_);
    if (state->sequence <= current_->sequence)
      return false;
    current_ = std::move(state);
  }
  NotifyListeners();
  return true;
}

std::set<KeyId> ControlStateHolder::AddEmergencyWithdrawals(
    const std::set<KeyId>& keys) {
  std::set<KeyId> added;
  {
    const std::lock_guard lock(mutex_);
    for (const KeyId& key : keys) {
      if (!emergency_withdrawals_.insert(key).second)
        continue;
      added.insert(key);
    }
  }
  if (!added.empty())
    NotifyListeners();
  return added;
}

std::set<KeyId> ControlStateHolder::emergency_withdrawals() const {
  const std::lock_guard lock(mutex_);
  return emergency_withdrawals_;
}

bool ControlStateHolder::IsEmergencyWithdrawn(const KeyId& key) const {
  const std::lock_guard lock(mutex_);
  return emergency_withdrawals_.contains(key);
}

void ControlStateHolder::AddListener(Listener listener) {
  listeners_.push_back(std::move(listener));
}

void ControlStateHolder::NotifyListeners() {
  const auto state = current();
  for (const Listener& listener : listeners_)
    listener(state);
}

}  // namespace bamboomount
