#ifndef TESTS_SOAK_FAULT_SOAK_RANDOM_H_
#define TESTS_SOAK_FAULT_SOAK_RANDOM_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <random>
#include <utility>
#include <vector>

namespace bamboomount::soak {

// Pseudo-random choices that a seed determines. Not thread-safe.
class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}

  // Returns a uniform number in [0, count). `count` must not be 0.
  std::size_t Below(std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(engine_);
  }
  // Returns true with a probability of `percent` in 100.
  bool Chance(int percent) { return std::cmp_less(Below(100), percent); }
  // Returns a uniform duration in [min_ms, max_ms], in whole milliseconds.
  std::chrono::milliseconds Between(int min_ms, int max_ms) {
    return std::chrono::milliseconds(
        std::uniform_int_distribution<int>(min_ms, max_ms)(engine_));
  }
  // Returns a uniformly chosen element. `items` must not be empty.
  template <typename T>
  const T& Pick(const std::vector<T>& items) {
    return items[Below(items.size())];
  }

 private:
  std::mt19937_64 engine_;
};

}  // namespace bamboomount::soak

#endif  // TESTS_SOAK_FAULT_SOAK_RANDOM_H_
