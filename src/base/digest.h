#ifndef BASE_DIGEST_H_
#define BASE_DIGEST_H_

#include <string>
#include <string_view>

namespace bamboomount {

// Returns the SHA-256 of `data` as 64 lower-case hexadecimal digits.
std::string Sha256Hex(std::string_view data);

// Returns `byte_count` bytes from the cryptographic random generator as
// lower-case hexadecimal. Throws std::runtime_error if the generator fails.
std::string RandomHex(std::size_t byte_count);

}  // namespace bamboomount

#endif  // BASE_DIGEST_H_
