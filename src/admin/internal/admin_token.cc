#include "admin/internal/admin_token.h"

#include <openssl/crypto.h>

#include "base/base.h"

namespace bamboomount::internal {
namespace {

constexpr std::string_view kScheme = "Bearer ";

}  // namespace

AdminToken::AdminToken(std::string_view token) : digest_(Sha256Hex(token)) {}

bool AdminToken::Matches(std::string_view authorization) const {
  if (!authorization.starts_with(kScheme))
    return false;
  // Digests have a fixed length, so that the time of the comparison does not
  // reveal the token's length.
  const std::string digest = Sha256Hex(authorization.substr(kScheme.size()));
  return CRYPTO_memcmp(digest.data(), digest_.data(), digest_.size()) == 0;
}

}  // namespace bamboomount::internal
