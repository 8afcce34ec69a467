#ifndef STANDINS_PLATFORM_FENCED_LOG_H_
#define STANDINS_PLATFORM_FENCED_LOG_H_

#include <algorithm>
#include <mutex>
#include <vector>

#include "base/base.h"

namespace bamboomount::standin {

// Log of the accepted entries of one interface in order of arrival, including
// duplicates. Entry has a member fencing_token. Thread-safe.
template <typename Entry>
class FencedLog {
 public:
  // Appends `entry` and returns true. Returns false without appending it if
  // tokens are checked and a newer token was accepted before.
  bool Append(const Entry& entry) {
    const std::lock_guard lock(mutex_);
    if (check_tokens_ && entry.fencing_token < newest_token_)
      return false;
    newest_token_ = std::max(newest_token_, entry.fencing_token);
    entries_.push_back(entry);
    return true;
  }

  std::vector<Entry> entries() const {
    const std::lock_guard lock(mutex_);
    return entries_;
  }

  // Whether entries with a stale fencing token are refused; true by default.
  void set_check_tokens(bool check) {
    const std::lock_guard lock(mutex_);
    check_tokens_ = check;
  }

 private:
  mutable std::mutex mutex_;
  bool check_tokens_ = true;
  FencingToken newest_token_;
  std::vector<Entry> entries_;
};

}  // namespace bamboomount::standin

#endif  // STANDINS_PLATFORM_FENCED_LOG_H_
