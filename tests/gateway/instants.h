#ifndef TESTS_GATEWAY_INSTANTS_H_
#define TESTS_GATEWAY_INSTANTS_H_

#include "gateway/boot_clock.h"

namespace bamboomount {

// The time `millis` ms after an arbitrary start of the test.
inline Instant At(std::int64_t millis) {
  constexpr Millis kStart{1'000'000};
  return Instant(kStart + Millis(millis));
}

}  // namespace bamboomount

#endif  // TESTS_GATEWAY_INSTANTS_H_
