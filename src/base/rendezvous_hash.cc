#include "base/rendezvous_hash.h"

#include <xxhash.h>

#include "base/stable_hash.h"

namespace bamboomount {

std::uint64_t RendezvousWeight(const std::string& key,
                               const std::string& candidate) {
  return XXH3_64bits_withSeed(candidate.data(), candidate.size(),
                              StableHash(key));
}

}  // namespace bamboomount
