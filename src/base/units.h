#ifndef BASE_UNITS_H_
#define BASE_UNITS_H_

#include <compare>
#include <cstdint>
#include <ostream>

namespace bamboomount {

// A count of one kind; counts of different kinds do not mix.
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
// Priority of a class; 0 is the highest tier.
using Tier = StrongCount<struct TierTag, std::int32_t>;
// Raised by one with each write of a row; 0 stands for a missing row.
using RowVersion = StrongCount<struct RowVersionTag, std::uint64_t>;
// Position in the change log; 0 stands for an empty log.
using ChangeSequence = StrongCount<struct ChangeSequenceTag, std::uint64_t>;
// Version of the service configuration; 0 stands for none.
using ConfigVersion = StrongCount<struct ConfigVersionTag, std::uint64_t>;
// Grows with each change of the lease holder.
using FencingToken = StrongCount<struct FencingTokenTag, std::uint64_t>;

}  // namespace bamboomount

#endif  // BASE_UNITS_H_
