#include "gateway/memory_budget.h"

namespace bamboomount {

MemoryState MemoryBudget::state() const {
  if (used_bytes_ > limit_bytes_)
    return MemoryState::kExhausted;
  return used_bytes_ > scarce_bytes_ ? MemoryState::kScarce
                                     : MemoryState::kNormal;
}

MemoryState MemoryBudget::TakeWorstState() {
  return std::exchange(worst_state_, state());
}

void MemoryBudget::Replace(std::size_t old_bytes, std::size_t new_bytes) {
  used_bytes_ = used_bytes_ - old_bytes + new_bytes;
  worst_state_ = std::max(worst_state_, state());
}

void MemoryCharge::Set(std::size_t bytes) {
  budget_->Replace(std::exchange(bytes_, bytes), bytes);
}

bool MemoryCharge::TryAdd(std::size_t bytes) {
  if (!budget_->HasRoomFor(bytes))
    return false;
  Set(bytes_ + bytes);
  return true;
}

}  // namespace bamboomount
