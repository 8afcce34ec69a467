#include "gateway/traffic/pool.h"

namespace bamboomount {
namespace {

constexpr double kBitsPerByte = 8;
constexpr double kBitsPerMbit = 1e6;
// Engines read prompts faster than this only with small models, whose cached
// state is small too.
constexpr double kPrefillTokensPerSecond = 100'000;
// Copying also takes the engine's link from others.
constexpr double kMinCopySpeedup = 4;

}  // namespace

bool EngineTraits::CopiesPrefixes() const {
  if (cache_bytes_per_token <= 0 || link_mbits_per_s <= 0)
    return false;
  const double tokens_copied_per_second =
      link_mbits_per_s * kBitsPerMbit / (cache_bytes_per_token * kBitsPerByte);
  return tokens_copied_per_second > kMinCopySpeedup * kPrefillTokensPerSecond;
}

}  // namespace bamboomount
