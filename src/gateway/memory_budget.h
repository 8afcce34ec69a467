#ifndef GATEWAY_MEMORY_BUDGET_H_
#define GATEWAY_MEMORY_BUDGET_H_

#include <algorithm>
#include <cstddef>
#include <memory>
#include <utility>

namespace bamboomount {

enum class MemoryState {
  kNormal,
  // New requests are refused.
  kScarce,
  // Connections are closed.
  kExhausted,
};

// Counts the memory that callers make the process hold: heads, bodies,
// connections and queued bytes of responses. Not thread-safe.
class MemoryBudget {
 public:
  // Memory is scarce above `scarce_bytes` and exhausted above `limit_bytes`.
  MemoryBudget(std::size_t scarce_bytes, std::size_t limit_bytes)
      : scarce_bytes_(scarce_bytes), limit_bytes_(limit_bytes) {}
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  MemoryState state() const;
  std::size_t used_bytes() const { return used_bytes_; }
  std::size_t limit_bytes() const { return limit_bytes_; }
  // Bytes that have to be released until memory is no longer scarce.
  std::size_t excess_bytes() const {
    return used_bytes_ - std::min(used_bytes_, scarce_bytes_);
  }
  // The worst state since the previous call.
  MemoryState TakeWorstState();

 private:
  friend class MemoryCharge;

  bool HasRoomFor(std::size_t bytes) const {
    return bytes <= scarce_bytes_ && used_bytes_ <= scarce_bytes_ - bytes;
  }
  void Replace(std::size_t old_bytes, std::size_t new_bytes);

  const std::size_t scarce_bytes_;
  const std::size_t limit_bytes_;
  std::size_t used_bytes_ = 0;
  MemoryState worst_state_ = MemoryState::kNormal;
};

// The part of a MemoryBudget that one holder uses; released by the destructor.
class MemoryCharge {
 public:
  explicit MemoryCharge(std::shared_ptr<MemoryBudget> budget)
      : budget_(std::move(budget)) {}
  ~MemoryCharge() { Set(0); }
  MemoryCharge(const MemoryCharge&) = delete;
  MemoryCharge& operator=(const MemoryCharge&) = delete;

  std::size_t bytes() const { return bytes_; }
  // Sets what the holder uses, for memory that is in use already.
  void Set(std::size_t bytes);
  // Adds memory for new work. Returns false, and changes nothing, if memory is
  // scarce or would be.
  bool TryAdd(std::size_t bytes);

 private:
  // Shared, because handlers that wait in the io_context can keep a connection
  // alive after the server is destroyed.
  const std::shared_ptr<MemoryBudget> budget_;
  std::size_t bytes_ = 0;
};

}  // namespace bamboomount

#endif  // GATEWAY_MEMORY_BUDGET_H_
