#ifndef TESTS_SOAK_FAULT_SOAK_RANDOM_H_
#define TESTS_SOAK_FAULT_SOAK_RANDOM_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <random>
#include <utility>
#include <vector>

namespace bamboomount::soak {

// Choices that follow from a seed.
class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}

  // Uniform in [0, count).
  std::size_t Below(std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(engine_);
  }
  bool Chance(int percent) { return std::cmp_less(Below(100), percent); }
  std::chrono::milliseconds Between(int min_ms, int max_ms) {
    return std::chrono::milliseconds(
        std::uniform_int_distribution<int>(min_ms, max_ms)(engine_));
  }
  template <typename T>
  const T& Pick(const std::vector<T>& items) {
    return items[Below(items.size())];
  }

 private:
  std::mt19937_64 engine_;
};

}  // namespace bamboomount::soak

#endif  // TESTS_SOAK_FAULT_SOAK_RANDOM_H_
