#ifndef TESTS_GATEWAY_INSTANTS_H_
#define TESTS_GATEWAY_INSTANTS_H_

#include "gateway/boot_clock.h"

namespace bamboomount {

// A moment `millis` after an arbitrary start.
inline Instant At(std::int64_t millis) {
  constexpr Millis kStart{1'000'000};
  return Instant(kStart + Millis(millis));
}

}  // namespace bamboomount

#endif  // TESTS_GATEWAY_INSTANTS_H_
