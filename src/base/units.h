#ifndef BASE_UNITS_H_
#define BASE_UNITS_H_

#include <compare>
#include <cstdint>
#include <ostream>

namespace bamboomount {

// An integer quantity of one kind; quantities of different kinds do not mix.
template <typename Tag, typename Rep = std::int64_t>
class StrongCount {
 public:
  constexpr StrongCount() = default;
  constexpr explicit StrongCount(Rep value) : value_(value) {}

  constexpr Rep value() const { return value_; }

  constexpr StrongCount& operator+=(StrongCount other) {
    value_ += other.value_;
    return *this;
  }
  constexpr StrongCount& operator-=(StrongCount other) {
    value_ -= other.value_;
    return *this;
  }
  friend constexpr StrongCount operator+(StrongCount a, StrongCount b) {
    return a += b;
  }
  friend constexpr StrongCount operator-(StrongCount a, StrongCount b) {
    return a -= b;
  }
  friend constexpr auto operator<=>(StrongCount, StrongCount) = default;
  friend std::ostream& operator<<(std::ostream& out, StrongCount count) {
    return out << count.value_;
  }

 private:
  Rep value_ = 0;
};

using Tokens = StrongCount<struct TokensTag>;
// Priority tier of a service class; 0 is the highest.
using Tier = StrongCount<struct TierTag, std::int32_t>;
// Incremented by each write of a row; 0 means that the row is missing.
using RowVersion = StrongCount<struct RowVersionTag, std::uint64_t>;
// Number of the store's present history. It rises by one each time that the
// store comes back from an older copy, and versions are given out again; 0 if
// the store states none.
using StoreEra = StrongCount<struct StoreEraTag, std::uint64_t>;
// Position in the change log; 0 means an empty log.
using ChangeSequence = StrongCount<struct ChangeSequenceTag, std::uint64_t>;
// Version of the service configuration; 0 means none.
using ConfigVersion = StrongCount<struct ConfigVersionTag, std::uint64_t>;
// Increases with each change of the lease holder.
using FencingToken = StrongCount<struct FencingTokenTag, std::uint64_t>;

}  // namespace bamboomount

#endif  // BASE_UNITS_H_
