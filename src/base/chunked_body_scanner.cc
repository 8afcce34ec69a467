#include "base/chunked_body_scanner.h"

#include <algorithm>
#include <limits>

namespace bamboomount {
namespace {

constexpr char kReturn = '\r';
constexpr char kLineFeed = '\n';
constexpr unsigned kDigitBits = 4;

bool IsBlank(char byte) {
  return byte == ' ' || byte == '\t';
}

// Visible characters, bytes above ASCII and blanks.
bool IsText(char byte) {
  const auto value = static_cast<unsigned char>(byte);
  return byte == '\t' || (value >= ' ' && value != 0x7f);
}

bool IsTokenCharacter(char byte) {
  constexpr std::string_view kSymbols = "!#$%&'*+-.^_`|~";
  return (byte >= '0' && byte <= '9') || (byte >= 'a' && byte <= 'z') ||
         (byte >= 'A' && byte <= 'Z') ||
         kSymbols.find(byte) != std::string_view::npos;
}

constexpr unsigned kHexadecimal = 16;

// The value of a hexadecimal digit; kHexadecimal for another character.
unsigned HexDigit(char byte) {
  if (byte >= '0' && byte <= '9')
    return static_cast<unsigned>(byte - '0');
  if (byte >= 'a' && byte <= 'f')
    return static_cast<unsigned>(byte - 'a') + 10;
  if (byte >= 'A' && byte <= 'F')
    return static_cast<unsigned>(byte - 'A') + 10;
  return kHexadecimal;
}

bool IsHexDigit(char byte) {
  return HexDigit(byte) < kHexadecimal;
}

}  // namespace

std::size_t ChunkedBodyScanner::Scan(std::string_view bytes) {
  std::size_t position = 0;
  while (position < bytes.size() && !failed() && !ended()) {
    if (state_ == State::kData) {
      const auto taken =
          std::min<std::uint64_t>(size_, bytes.size() - position);
      position += static_cast<std::size_t>(taken);
      size_ -= taken;
      if (size_ == 0)
        state_ = State::kDataReturn;
    } else {
      state_ = Next(bytes[position++]);
    }
  }
  return position;
}

ChunkedBodyScanner::State ChunkedBodyScanner::Next(char byte) {
  switch (state_) {
    case State::kSizeStart:
    case State::kSize:
    case State::kSizeBlank:
    case State::kExtension:
      return NextOfSizeLine(byte);
    case State::kSizeLineFeed:
      if (byte != kLineFeed)
        return State::kFailed;
      return size_ == 0 ? State::kTrailerStart : State::kData;
    case State::kDataReturn:
      return byte == kReturn ? State::kDataLineFeed : State::kFailed;
    case State::kDataLineFeed:
      return byte == kLineFeed ? State::kSizeStart : State::kFailed;
    case State::kTrailerStart:
    case State::kTrailerName:
    case State::kTrailerValue:
      return NextOfTrailer(byte);
    case State::kTrailerLineFeed:
      return byte == kLineFeed ? State::kTrailerStart : State::kFailed;
    case State::kEndLineFeed:
      return byte == kLineFeed ? State::kEnded : State::kFailed;
    case State::kData:
    case State::kEnded:
    case State::kFailed:
      break;
  }
  return State::kFailed;
}

ChunkedBodyScanner::State ChunkedBodyScanner::NextOfSizeLine(char byte) {
  if (state_ == State::kSizeStart) {
    size_ = 0;
    return IsHexDigit(byte) ? AddSizeDigit(byte) : State::kFailed;
  }
  if (state_ == State::kSize && IsHexDigit(byte))
    return AddSizeDigit(byte);
  if (state_ == State::kExtension) {
    if (byte == kReturn)
      return State::kSizeLineFeed;
    return IsText(byte) ? State::kExtension : State::kFailed;
  }
  if (byte == kReturn && state_ == State::kSize)
    return State::kSizeLineFeed;
  if (IsBlank(byte))
    return State::kSizeBlank;
  return byte == ';' ? State::kExtension : State::kFailed;
}

ChunkedBodyScanner::State ChunkedBodyScanner::NextOfTrailer(char byte) {
  if (state_ == State::kTrailerValue) {
    if (byte == kReturn)
      return State::kTrailerLineFeed;
    return IsText(byte) ? State::kTrailerValue : State::kFailed;
  }
  if (state_ == State::kTrailerStart && byte == kReturn)
    return State::kEndLineFeed;
  if (state_ == State::kTrailerName && byte == ':')
    return State::kTrailerValue;
  return IsTokenCharacter(byte) ? State::kTrailerName : State::kFailed;
}

ChunkedBodyScanner::State ChunkedBodyScanner::AddSizeDigit(char byte) {
  if (size_ > std::numeric_limits<std::uint64_t>::max() >> kDigitBits)
    return State::kFailed;
  size_ = (size_ << kDigitBits) | HexDigit(byte);
  return State::kSize;
}

}  // namespace bamboomount
