#ifndef BASE_RENDEZVOUS_HASH_H_
#define BASE_RENDEZVOUS_HASH_H_

#include <cstdint>
#include <string>

namespace bamboomount {

// Returns the rendezvous-hash weight of `candidate` for `key`; the candidate
// with the highest weight is chosen. The result is the same on all machines.
std::uint64_t RendezvousWeight(const std::string& key,
                               const std::string& candidate);

}  // namespace bamboomount

#endif  // BASE_RENDEZVOUS_HASH_H_
