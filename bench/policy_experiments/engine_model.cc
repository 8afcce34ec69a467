#include "engine_model.h"

#include <algorithm>

namespace bamboomount {
namespace {

constexpr double kFixedPromptSeconds = 0.04;
constexpr double kSecondsPerPromptToken = 0.00025;
constexpr double kCachedWorkFraction = 0.3;
constexpr std::size_t kCachedPrefixes = 40;
constexpr double kTokensPerSecond = 60;
// Slowdown of generation when all slots are taken.
constexpr double kBatchSlowdown = 0.5;

}  // namespace

double EngineModel::load() const {
  return static_cast<double>(running + external) / backend.slots;
}

double EngineModel::SecondsToFirstToken(const Job& job) {
  const std::uint64_t prefix = job.request.prefix_hash;
  const bool cached = std::find(cached_prefixes.begin(), cached_prefixes.end(),
                                prefix) != cached_prefixes.end();
  if (!cached) {
    cached_prefixes.push_back(prefix);
    if (cached_prefixes.size() > kCachedPrefixes)
      cached_prefixes.pop_front();
  }
  const auto prompt = static_cast<double>(job.request.prompt_tokens.value());
  return (kFixedPromptSeconds + kSecondsPerPromptToken * prompt *
                                    (cached ? kCachedWorkFraction : 1)) *
         (1 + load()) / speed;
}

double EngineModel::SecondsToGenerate(const Job& job) const {
  return job.output / (kTokensPerSecond * speed) *
         (1 + kBatchSlowdown * load());
}

}  // namespace bamboomount
