#include "gateway/admission_rules.h"

#include <algorithm>
#include <sstream>

namespace bamboomount {
namespace {

// The queue time is at most the target latency divided by
// kTargetLatencyDivisor, and at most the remaining time divided by
// kTimeLeftDivisor.
constexpr int kTargetLatencyDivisor = 2;
constexpr int kTimeLeftDivisor = 4;
// Lower bound on the retry delay.
constexpr Millis kMinRetryAfter{50};
// Callers wait for at most this fraction of their remaining time.
constexpr double kMaxRetryAfterFraction = 1.0 / 3;

}  // namespace

Millis MaxQueueTime(Millis target_latency, Millis time_left) {
  return std::max(Millis(0), std::min(target_latency / kTargetLatencyDivisor,
                                      time_left / kTimeLeftDivisor));
}

Millis RetryAfter(Millis time_left, double draw) {
  const double max_delay =
      static_cast<double>(time_left.count()) * kMaxRetryAfterFraction;
  const Millis delay(static_cast<Millis::rep>(max_delay * draw));
  return std::max(kMinRetryAfter, delay);
}

Millis RetryAfterOverload(double load_factor, Millis time_left, double draw) {
  const double max_delay =
      static_cast<double>(time_left.count()) * kMaxRetryAfterFraction;
  // Half of the range stays, so that the retries are not a burst of their own.
  const double excess = load_factor > 1 ? 1 - 1 / load_factor : 0;
  const double earliest = excess / 2;
  const double fraction = earliest + (1 - earliest) * draw;
  const Millis delay(static_cast<Millis::rep>(max_delay * fraction));
  return std::max(kMinRetryAfter, delay);
}

std::string FormatSeconds(Millis time) {
  constexpr double kMillisPerSecond = 1000;
  std::ostringstream text;
  text << static_cast<double>(time.count()) / kMillisPerSecond;
  return text.str();
}

}  // namespace bamboomount
