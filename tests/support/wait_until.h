#ifndef SUPPORT_WAIT_UNTIL_H_
#define SUPPORT_WAIT_UNTIL_H_

#include <chrono>
#include <functional>
#include <thread>

namespace bamboomount::support {

// Polls `condition` until it is true. Returns false after `deadline`, which
// only keeps a test from hanging.
inline bool WaitUntil(
    const std::function<bool()>& condition,
    std::chrono::milliseconds deadline = std::chrono::seconds(30)) {
  constexpr std::chrono::milliseconds kPollInterval{5};
  const auto until = std::chrono::steady_clock::now() + deadline;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= until)
      return false;
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

}  // namespace bamboomount::support

#endif  // SUPPORT_WAIT_UNTIL_H_
