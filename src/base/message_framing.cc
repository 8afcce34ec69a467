#include "base/message_framing.h"

#include <strings.h>

#include <algorithm>
#include <cctype>
#include <string_view>

namespace bamboomount {
namespace {

constexpr unsigned kHttp11 = 11;
// Enough for every length that fits into 63 bits.
constexpr std::size_t kMaxLengthDigits = 18;

std::string_view Trim(std::string_view value) {
  constexpr std::string_view kBlanks = " \t";
  const std::size_t first = value.find_first_not_of(kBlanks);
  if (first == std::string_view::npos)
    return {};
  return value.substr(first, value.find_last_not_of(kBlanks) - first + 1);
}

bool IsChunked(std::string_view coding) {
  constexpr std::string_view kChunked = "chunked";
  return coding.size() == kChunked.size() &&
         strncasecmp(coding.data(), kChunked.data(), kChunked.size()) == 0;
}

bool IsLength(std::string_view value) {
  return !value.empty() && value.size() <= kMaxLengthDigits &&
         std::all_of(value.begin(), value.end(), [](char character) {
           return std::isdigit(static_cast<unsigned char>(character)) != 0;
         });
}

}  // namespace

bool IsUnambiguous(const MessageFraming& framing) {
  const auto& codings = framing.transfer_encodings;
  const auto& lengths = framing.content_lengths;
  if (codings.empty())
    return lengths.empty() ||
           (lengths.size() == 1 && IsLength(Trim(lengths.front())));
  // Recipients that speak HTTP/1.0 do not know transfer codings.
  return framing.version >= kHttp11 && lengths.empty() && codings.size() == 1 &&
         IsChunked(Trim(codings.front()));
}

}  // namespace bamboomount
