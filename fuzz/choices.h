#ifndef FUZZ_CHOICES_H_
#define FUZZ_CHOICES_H_

#include <array>
#include <cstddef>
#include <string_view>

namespace bamboomount::fuzz {

// The decisions of a generator, read from the bytes of one input. A fuzzer that
// changes the bytes changes the decisions. After the last byte each decision is
// the first and simplest one, so that a shorter input is a simpler example.
class Choices {
 public:
  explicit Choices(std::string_view bytes) : bytes_(bytes) {}

  // A number below `bound`, which must not be 0.
  std::size_t Below(std::size_t bound) {
    constexpr std::size_t kByteValues = 256;
    std::size_t value = NextByte();
    if (bound > kByteValues)
      value = value * kByteValues + NextByte();
    return value % bound;
  }
  // True in one of `count` cases; false after the last byte.
  bool OneIn(std::size_t count) { return Below(count) == count - 1; }
  template <std::size_t kSize>
  std::string_view Pick(const std::array<std::string_view, kSize>& options) {
    return options[Below(kSize)];
  }
  char Character() { return static_cast<char>(NextByte()); }

 private:
  std::size_t NextByte() {
    if (bytes_.empty())
      return 0;
    const auto byte = static_cast<unsigned char>(bytes_.front());
    bytes_.remove_prefix(1);
    return byte;
  }

  std::string_view bytes_;
};

}  // namespace bamboomount::fuzz

#endif  // FUZZ_CHOICES_H_
