#include "engine_model.h"

#include <algorithm>

namespace bamboomount {
namespace {

constexpr double kFixedSeconds = 0.04;
constexpr double kSecondsPerPromptToken = 0.00025;
constexpr double kCachedPart = 0.3;
constexpr std::size_t kCachedPrefixes = 40;
constexpr double kTokensPerSecond = 60;
// Slowdown of generation when all slots are taken.
constexpr double kBatchSlowdown = 0.5;

}  // namespace

double EngineModel::load() const {
  return static_cast<double>(running + foreign) / backend.slots;
}

double EngineModel::SecondsToFirstToken(const Job& job) {
  const std::uint64_t prefix = job.request.prefix_hash;
  const bool cached =
      std::find(prefixes.begin(), prefixes.end(), prefix) != prefixes.end();
  if (!cached) {
    prefixes.push_back(prefix);
    if (prefixes.size() > kCachedPrefixes)
      prefixes.pop_front();
  }
  const auto prompt = static_cast<double>(job.request.prompt_tokens.value());
  return (kFixedSeconds +
          kSecondsPerPromptToken * prompt * (cached ? kCachedPart : 1)) *
         (1 + load()) / speed;
}

double EngineModel::SecondsToGenerate(const Job& job) const {
  return job.output / (kTokensPerSecond * speed) *
         (1 + kBatchSlowdown * load());
}

}  // namespace bamboomount
