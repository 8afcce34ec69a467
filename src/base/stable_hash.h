#ifndef BASE_STABLE_HASH_H_
#define BASE_STABLE_HASH_H_

#include <cstdint>
#include <string_view>

namespace bamboomount {

// Returns a hash of `text` that is the same on all machines and in all
// versions. Not cryptographic.
std::uint64_t StableHash(std::string_view text);

}  // namespace bamboomount

#endif  // BASE_STABLE_HASH_H_
