#ifndef BASE_STABLE_HASH_H_
#define BASE_STABLE_HASH_H_

#include <cstdint>
#include <string_view>

namespace bamboomount {

// A hash of `text` that is equal on all machines and in all versions.
std::uint64_t StableHash(std::string_view text);

}  // namespace bamboomount

#endif  // BASE_STABLE_HASH_H_
