#include "gateway/admission_rules.h"

#include <algorithm>
#include <sstream>

namespace bamboomount {
namespace {

constexpr int kTargetParts = 2;
constexpr int kTimeLeftParts = 4;
constexpr Millis kMinRetryAfter{50};
// Part of the time left that callers wait at most.
constexpr double kHonouredPart = 1.0 / 3;

}  // namespace

Millis WaitLimit(Millis target_latency, Millis time_left) {
  return std::max(Millis(0), std::min(target_latency / kTargetParts,
                                      time_left / kTimeLeftParts));
}

Millis RetryAfter(Millis time_left, double draw) {
  const double longest = static_cast<double>(time_left.count()) * kHonouredPart;
  const Millis spread(static_cast<Millis::rep>(longest * draw));
  return std::max(kMinRetryAfter, spread);
}

std::string SecondsText(Millis time) {
  constexpr double kMillisPerSecond = 1000;
  std::ostringstream text;
  text << static_cast<double>(time.count()) / kMillisPerSecond;
  return text.str();
}

}  // namespace bamboomount
