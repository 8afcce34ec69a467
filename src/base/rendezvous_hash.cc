#include "base/rendezvous_hash.h"

#include "base/stable_hash.h"

namespace bamboomount {

std::uint64_t RendezvousWeight(const std::string& key,
                               const std::string& candidate) {
  return StableHash(candidate, StableHash(key));
}

}  // namespace bamboomount
