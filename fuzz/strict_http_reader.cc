#include "fuzz/strict_http_reader.h"

#include <algorithm>
#include <optional>

namespace bamboomount::fuzz {
namespace {

constexpr std::string_view kLineEnd = "\r\n";

bool IsOneOf(char character, std::string_view set) {
  return set.find(character) != std::string_view::npos;
}

bool IsDigit(char character) {
  return character >= '0' && character <= '9';
}

bool IsLetter(char character) {
  return (character >= 'a' && character <= 'z') ||
         (character >= 'A' && character <= 'Z');
}

bool IsTokenCharacter(char character) {
  return IsDigit(character) || IsLetter(character) ||
         IsOneOf(character, "!#$%&'*+-.^_`|~");
}

bool IsToken(std::string_view text) {
  return !text.empty() &&
         std::all_of(text.begin(), text.end(), IsTokenCharacter);
}

// Visible characters, bytes above ASCII, spaces and tabs.
bool IsText(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char character) {
    const auto byte = static_cast<unsigned char>(character);
    return character == '\t' || (byte >= 0x20 && byte != 0x7f);
  });
}

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  constexpr char kCaseBit = 0x20;
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
           return x == y || (IsLetter(x) && (x ^ y) == kCaseBit);
         });
}

std::string_view TrimBlanks(std::string_view text) {
  while (!text.empty() && IsOneOf(text.front(), " \t"))
    text.remove_prefix(1);
  while (!text.empty() && IsOneOf(text.back(), " \t"))
    text.remove_suffix(1);
  return text;
}

// The bytes that are still to be read.
class Input {
 public:
  explicit Input(std::string_view bytes) : bytes_(bytes) {}

  // Reads a line, which must not have a CR or LF but at its end. Sets the
  // verdict if there is none.
  std::optional<std::string_view> Line() {
    const std::string_view rest = bytes_.substr(position_);
    const std::size_t end = rest.find_first_of("\r\n");
    if (end == std::string_view::npos)
      return Stop(StrictVerdict::kIncomplete);
    if (rest.substr(end, kLineEnd.size()) != kLineEnd)
      return Stop(rest.substr(end) == "\r" ? StrictVerdict::kIncomplete
                                           : StrictVerdict::kRefused);
    position_ += end + kLineEnd.size();
    return rest.substr(0, end);
  }
  std::optional<std::string_view> Bytes(std::size_t size) {
    if (bytes_.size() - position_ < size)
      return Stop(StrictVerdict::kIncomplete);
    position_ += size;
    return bytes_.substr(position_ - size, size);
  }
  std::string_view Rest() {
    const std::string_view rest = bytes_.substr(position_);
    position_ = bytes_.size();
    return rest;
  }
  std::nullopt_t Stop(StrictVerdict verdict) {
    verdict_ = verdict;
    return std::nullopt;
  }
  StrictVerdict verdict() const { return verdict_; }
  std::size_t position() const { return position_; }

 private:
  std::string_view bytes_;
  std::size_t position_ = 0;
  StrictVerdict verdict_ = StrictVerdict::kComplete;
};

using Fields = std::vector<std::pair<std::string, std::string>>;

bool ReadFields(Input& input, Fields& fields) {
  while (const auto line = input.Line()) {
    if (line->empty())
      return true;
    const std::size_t colon = line->find(':');
    if (colon == std::string_view::npos || !IsToken(line->substr(0, colon)) ||
        !IsText(line->substr(colon + 1))) {
      input.Stop(StrictVerdict::kRefused);
      return false;
    }
    fields.emplace_back(line->substr(0, colon),
                        TrimBlanks(line->substr(colon + 1)));
  }
  return false;
}

// A number of `digits` without a sign or blanks, in base 10 or 16.
std::optional<std::size_t> ParseNumber(std::string_view text,
                                       std::size_t base) {
  constexpr std::size_t kMaxDigits = 18;
  constexpr std::string_view kDigits = "0123456789abcdef";
  if (text.empty())
    return std::nullopt;
  while (text.size() > 1 && text.front() == '0')
    text.remove_prefix(1);
  if (text.size() > kMaxDigits)
    return std::nullopt;
  std::size_t number = 0;
  for (char character : text) {
    if (character >= 'A' && character <= 'F')
      character = static_cast<char>(character - 'A' + 'a');
    const std::size_t digit = kDigits.find(character);
    if (digit >= base)
      return std::nullopt;
    number = number * base + digit;
  }
  return number;
}

bool ReadChunks(Input& input, std::string& body) {
  constexpr std::size_t kHexadecimal = 16;
  while (const auto line = input.Line()) {
    const std::size_t end = line->find_first_of("; \t");
    const auto size = ParseNumber(line->substr(0, end), kHexadecimal);
    const std::string_view extension =
        end == std::string_view::npos ? "" : line->substr(end);
    const std::string_view trimmed = TrimBlanks(extension);
    // Blanks are allowed only before an extension.
    if (!size || !IsText(extension) ||
        (end != std::string_view::npos && !trimmed.starts_with(";"))) {
      input.Stop(StrictVerdict::kRefused);
      return false;
    }
    if (*size == 0) {
      Fields trailers;
      return ReadFields(input, trailers);
    }
    const auto data = input.Bytes(*size);
    if (!data)
      return false;
    body += *data;
    const auto rest = input.Line();
    if (!rest)
      return false;
    if (!rest->empty()) {
      input.Stop(StrictVerdict::kRefused);
      return false;
    }
  }
  return false;
}

struct Framing {
  bool is_chunked = false;
  std::optional<std::size_t> length;
};

std::optional<Framing> FindFraming(const Fields& fields, bool is_http11) {
  constexpr std::size_t kDecimal = 10;
  Framing framing;
  int count = 0;
  for (const auto& [name, value] : fields) {
    if (EqualsIgnoringCase(name, "Content-Length")) {
      framing.length = ParseNumber(value, kDecimal);
      if (++count > 1 || !framing.length)
        return std::nullopt;
    } else if (EqualsIgnoringCase(name, "Transfer-Encoding")) {
      framing.is_chunked = EqualsIgnoringCase(value, "chunked");
      if (++count > 1 || !framing.is_chunked || !is_http11)
        return std::nullopt;
    }
  }
  return framing;
}

bool IsVersion(std::string_view text) {
  return text == "HTTP/1.1" || text == "HTTP/1.0";
}

bool ReadBody(Input& input, const Framing& framing, StrictMessage& message) {
  if (framing.is_chunked)
    return ReadChunks(input, message.body);
  const auto data = input.Bytes(framing.length.value_or(0));
  if (data)
    message.body = *data;
  return data.has_value();
}

StrictMessage Finish(const Input& input, StrictMessage message) {
  message.verdict = input.verdict();
  message.size = input.position();
  return message;
}

}  // namespace

std::string StrictMessage::Field(std::string_view name) const {
  for (const auto& [field, value] : fields) {
    if (EqualsIgnoringCase(field, name))
      return value;
  }
  return "";
}

StrictMessage ReadRequestStrictly(std::string_view bytes) {
  Input input(bytes);
  StrictMessage message;
  const auto line = input.Line();
  if (!line)
    return Finish(input, message);
  const std::size_t first = line->find(' ');
  const std::size_t last = line->rfind(' ');
  if (first == std::string_view::npos || first == last)
    return message;
  const std::string_view target = line->substr(first + 1, last - first - 1);
  message.start = {std::string(line->substr(0, first)), std::string(target),
                   std::string(line->substr(last + 1))};
  if (!IsToken(message.start[0]) || target.empty() || !IsText(target) ||
      target.find_first_of(" \t") != std::string_view::npos ||
      !IsVersion(message.start[2]))
    return message;
  if (!ReadFields(input, message.fields))
    return Finish(input, message);
  const auto framing =
      FindFraming(message.fields, message.start[2] == "HTTP/1.1");
  if (!framing)
    return message;
  ReadBody(input, *framing, message);
  return Finish(input, message);
}

StrictMessage ReadResponseStrictly(std::string_view bytes, bool answers_head) {
  constexpr std::size_t kVersionSize = 8;
  constexpr std::size_t kStatusEnd = 12;
  Input input(bytes);
  StrictMessage message;
  const auto line = input.Line();
  if (!line)
    return Finish(input, message);
  const std::string_view status =
      line->substr(0, kStatusEnd)
          .substr(std::min<std::size_t>(line->size(), kVersionSize + 1));
  if (line->size() < kStatusEnd || !IsVersion(line->substr(0, kVersionSize)) ||
      (*line)[kVersionSize] != ' ' ||
      !std::all_of(status.begin(), status.end(), IsDigit) ||
      status.front() == '0' || status.front() > '5' ||
      (line->size() > kStatusEnd && (*line)[kStatusEnd] != ' ') ||
      !IsText(*line))
    return message;
  message.start = {std::string(line->substr(0, kVersionSize)),
                   std::string(status)};
  if (!ReadFields(input, message.fields))
    return Finish(input, message);
  const auto framing =
      FindFraming(message.fields, message.start[0] == "HTTP/1.1");
  if (!framing)
    return message;
  const bool has_no_body = answers_head || status.front() == '1' ||
                           status == "204" || status == "304";
  if (has_no_body)
    return Finish(input, message);
  message.until_close = !framing->is_chunked && !framing->length;
  if (message.until_close)
    message.body = input.Rest();
  else
    ReadBody(input, *framing, message);
  return Finish(input, message);
}

}  // namespace bamboomount::fuzz
