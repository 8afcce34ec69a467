#include "base/stable_hash.h"

#include <xxhash.h>

namespace bamboomount {

std::uint64_t StableHash(std::string_view text) {
  return XXH3_64bits(text.data(), text.size());
}

}  // namespace bamboomount
