#include "base/digest.h"

#include <openssl/evp.h>
#include <openssl/rand.h>

#include <array>
#include <stdexcept>
#include <vector>

namespace bamboomount {
namespace {

std::string ToHex(const unsigned char* data, std::size_t size) {
  static constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(size * 2);
  for (std::size_t i = 0; i < size; ++i) {
    text.push_back(kDigits[data[i] >> 4]);
    text.push_back(kDigits[data[i] & 0x0f]);
  }
  return text;
}

}  // namespace

std::string Sha256Hex(std::string_view data) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  EVP_Digest(data.data(), data.size(), digest.data(), &size, EVP_sha256(),
             nullptr);
  return ToHex(digest.data(), size);
}

std::string RandomHex(std::size_t byte_count) {
  std::vector<unsigned char> bytes(byte_count);
  if (RAND_bytes(bytes.data(), static_cast<int>(byte_count)) != 1)
    throw std::runtime_error("the random number generator failed");
  return ToHex(bytes.data(), bytes.size());
}

}  // namespace bamboomount
