#include "router/internal/authenticator.h"

#include <optional>
#include <string_view>
#include <utility>

namespace bamboomount {
namespace {

constexpr std::string_view kBearerPrefix = "Bearer ";
// Shorter texts are no keys; they could occur in a body by chance.
constexpr std::size_t kMinKeyBytes = 16;
constexpr std::size_t kMaxKeyBytes = 512;

std::optional<int> HexDigit(char c) {
  if (c >= '0' && c <= '9')
    return c - '0';
  if (c >= 'a' && c <= 'f')
    return c - 'a' + 10;
  if (c >= 'A' && c <= 'F')
    return c - 'A' + 10;
  return std::nullopt;
}

std::string PercentDecode(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const bool escaped = text[i] == '%' && i + 2 < text.size();
    const auto high = escaped ? HexDigit(text[i + 1]) : std::nullopt;
    const auto low = escaped ? HexDigit(text[i + 2]) : std::nullopt;
    if (!high || !low) {
      decoded.push_back(text[i]);
      continue;
    }
    decoded.push_back(static_cast<char>(*high * 16 + *low));
    i += 2;
  }
  return decoded;
}

// Undoes JSON escapes wherever they stand, also in text that is not JSON. Only
// escapes of ASCII matter, since keys are ASCII.
std::string UnescapeJson(std::string_view text) {
  constexpr std::size_t kEscapeLength = 6;
  std::string unescaped;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '\\' || i + 1 == text.size()) {
      unescaped.push_back(text[i]);
      continue;
    }
    const bool is_ascii =
        text.substr(i, 4) == "\\u00" && i + kEscapeLength <= text.size();
    const auto high = is_ascii ? HexDigit(text[i + 4]) : std::nullopt;
    const auto low = is_ascii ? HexDigit(text[i + 5]) : std::nullopt;
    if (high && low) {
      unescaped.push_back(static_cast<char>(*high * 16 + *low));
      i += kEscapeLength - 1;
    } else {
      unescaped.push_back(text[++i]);
    }
  }
  return unescaped;
}

// Whether `text` spells `key`, plainly or encoded as in queries, forms or JSON.
bool ContainsKey(std::string_view text, const std::string& key) {
  return text.find(key) != std::string_view::npos ||
         PercentDecode(text).find(key) != std::string::npos ||
         UnescapeJson(text).find(key) != std::string::npos;
}

bool OtherHeaderContainsKey(const HttpRequest& request,
                            const std::string& key) {
  for (const auto& field : request) {
    if (field.name() == http::field::authorization)
      continue;
    if (ContainsKey(std::string(field.value()), key))
      return true;
  }
  return false;
}

Error Refusal(ErrorCode code, std::string message) {
  return {code, RunVerdict::kNotRun, std::move(message), {}};
}

}  // namespace

Authenticator::Authenticator(const ControlStateHolder& state,
                             std::function<bool()> is_fresh)
    : state_(state), is_fresh_(std::move(is_fresh)) {}

Result<CallerIdentity> Authenticator::Authenticate(
    const HttpRequest& request) const {
  if (request.count(http::field::authorization) > 1)
    return Refusal(ErrorCode::kMissingKey,
                   "more than one Authorization header");
  const std::string header(request[http::field::authorization]);
  if (header.compare(0, kBearerPrefix.size(), kBearerPrefix) != 0)
    return Refusal(ErrorCode::kMissingKey,
                   "the request needs a header Authorization: Bearer KEY");
  const std::string key = header.substr(kBearerPrefix.size());
  if (key.size() < kMinKeyBytes || key.size() > kMaxKeyBytes)
    return Refusal(ErrorCode::kUnknownKey, "the key is not known");
  BOOST_OUTCOME_TRY(identity, FindIdentity(key));
  BOOST_OUTCOME_TRY(CheckKeyPlacement(request));
  return std::move(identity);
}

Result<void> Authenticator::CheckKeyPlacement(
    const HttpRequest& request) const {
  const std::string header(request[http::field::authorization]);
  const std::size_t space = header.find(' ');
  if (space == std::string::npos)
    return Success();
  const std::string key = header.substr(space + 1);
  if (key.size() < kMinKeyBytes)
    return Success();
  if (ContainsKey(std::string(request.target()), key) ||
      OtherHeaderContainsKey(request, key) || ContainsKey(request.body(), key))
    return Refusal(ErrorCode::kKeyInRequest,
                   "the key must stand in the Authorization header only");
  return Success();
}

Result<CallerIdentity> Authenticator::FindIdentity(
    const std::string& key) const {
  if (!is_fresh_()) {
    Error stale = Refusal(ErrorCode::kStaleState,
                          "this instance cannot confirm that keys are granted");
    stale.retry_after = std::chrono::seconds(1);
    return stale;
  }
  const auto state = state_.current();
  const auto found = state->keys.find(KeyDigest(Sha256Hex(key)));
  if (found == state->keys.end())
    return Refusal(ErrorCode::kUnknownKey, "the key is not known");
  const KeyEntry& entry = found->second;
  if (entry.withdrawn || state_.IsEmergencyWithdrawn(entry.key))
    return Refusal(ErrorCode::kWithdrawnKey, "the key was withdrawn");
  return CallerIdentity{entry.key, entry.customer};
}

}  // namespace bamboomount
