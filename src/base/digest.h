#ifndef BASE_DIGEST_H_
#define BASE_DIGEST_H_

#include <string>
#include <string_view>

namespace bamboomount {

// Lower-case hexadecimal SHA-256 of `data`, 64 characters.
std::string Sha256Hex(std::string_view data);

// `byte_count` bytes from the system's random source as lower-case
// hexadecimal. Throws std::runtime_error when the source fails.
std::string RandomHex(std::size_t byte_count);

}  // namespace bamboomount

#endif  // BASE_DIGEST_H_
