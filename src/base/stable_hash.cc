#include "base/stable_hash.h"

#include <xxhash.h>

namespace bamboomount {

std::uint64_t StableHash(std::string_view text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

}  // namespace bamboomount
