#include "fuzz/http_grammar.h"

#include <array>
#include <sstream>

namespace bamboomount::fuzz {
namespace {

using namespace std::string_view_literals;

struct Body {
  // Fields that state where the body ends.
  std::string fields;
  std::string bytes;
  bool is_sound = true;
  bool has_end = true;
};

// Most of these would be messages of their own if the body ended early.
std::string GenerateContent(Choices& choices) {
  constexpr std::array kContents{
      "x"sv,
      ""sv,
      "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n"sv,
      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"sv,
      "0\r\n\r\n"sv,
      "\r\n\r\n"sv,
      "a\0b\nc\r"sv,
  };
  std::string content;
  do {
    content += choices.Pick(kContents);
  } while (choices.OneIn(4));
  constexpr std::size_t kLongBytes = 9000;
  if (choices.OneIn(16))
    content.append(kLongBytes, 'y');
  return content;
}

std::string ChunkSize(std::size_t size, Choices& choices) {
  std::ostringstream text;
  if (choices.OneIn(4))
    text << "00";
  if (choices.OneIn(4))
    text << std::uppercase;
  text << std::hex << size;
  return text.str();
}

Body GenerateChunks(Choices& choices) {
  constexpr std::array kExtensions{""sv, ";a=b"sv, ";a"sv, ";a=\"b c\""sv};
  constexpr std::array kOddExtensions{
      " "sv,     " ;a"sv,      ";a\nb"sv, "\n"sv,    ";a\rb"sv, "x"sv,
      ";a\0b"sv, ";a=\"b\n"sv, "\t"sv,    ";\r\n"sv, "g"sv,     "\r"sv};
  constexpr std::array kSigns{"+"sv, "-"sv, "0x"sv, " "sv,
                              "f0000000000000000"sv};
  constexpr std::array kTrailers{""sv, "T: v\r\n"sv};
  constexpr std::array kOddTrailers{
      " T: v\r\n"sv,   "T: v\r\n w\r\n"sv, "T v\r\n"sv,
      "T: a\nb\r\n"sv, "T: v\n"sv,         "T: a\rb\r\n"sv,
      "T : v\r\n"sv,   "T: a\0b\r\n"sv,    "Content-Length: 9\r\n"sv,
      ": v\r\n"sv};
  constexpr std::array kOddEnds{"\n"sv, ""sv, "\r"sv, "z\r\n"sv, "\r\r\n"sv};
  Body body{"Transfer-Encoding: chunked\r\n", "", true, true};
  const auto odd = [&](const auto& options) {
    body.is_sound = false;
    return choices.Pick(options);
  };
  do {
    const std::string content = GenerateContent(choices);
    if (content.empty())
      continue;
    if (choices.OneIn(32))
      body.bytes += odd(kSigns);
    body.bytes += ChunkSize(content.size(), choices);
    body.bytes +=
        choices.OneIn(16) ? odd(kOddExtensions) : choices.Pick(kExtensions);
    body.bytes += "\r\n" + content;
    body.bytes += choices.OneIn(32) ? odd(kOddEnds) : "\r\n"sv;
  } while (choices.OneIn(3));
  body.bytes += "0";
  body.bytes +=
      choices.OneIn(16) ? odd(kOddExtensions) : choices.Pick(kExtensions);
  body.bytes += "\r\n";
  body.bytes += choices.OneIn(8) ? odd(kOddTrailers) : choices.Pick(kTrailers);
  body.bytes += choices.OneIn(32) ? odd(kOddEnds) : "\r\n"sv;
  return body;
}

// Fields that contradict each other or the body, or that readers understand
// differently.
Body GenerateOddBody(Choices& choices) {
  constexpr std::array kFields{
      "Content-Length: 3\r\nContent-Length: 5\r\n"sv,
      "Content-Length: 3, 3\r\n"sv,
      "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n"sv,
      "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n"sv,
      "Content-Length: +3\r\n"sv,
      "Content-Length: -3\r\n"sv,
      "Content-Length: 0x3\r\n"sv,
      "Content-Length: 3 3\r\n"sv,
      "Content-Length:\r\n"sv,
      "Content-Length: 003\r\n"sv,
      "Content-Length: 99999999999999999999\r\n"sv,
      "Content-Length: 18446744073709551619\r\n"sv,
      "Content-Length : 3\r\n"sv,
      " Content-Length: 3\r\n"sv,
      "Content-Length:\r\n 3\r\n"sv,
      "Content-Length: 3\n"sv,
      "A: b\nContent-Length: 3\r\n"sv,
      "A: b\rContent-Length: 3\r\n"sv,
      "Content\0-Length: 3\r\n"sv,
      "Transfer-Encoding: xchunked\r\n"sv,
      "Transfer-Encoding: chunked, chunked\r\n"sv,
      "Transfer-Encoding: gzip, chunked\r\n"sv,
      "Transfer-Encoding: chunked, identity\r\n"sv,
      "Transfer-Encoding: identity\r\n"sv,
      "Transfer-Encoding:\r\n chunked\r\n"sv,
      "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"sv,
      "Transfer-Encoding: \"chunked\"\r\n"sv,
      "Transfer-Encoding: chunked;q=1\r\n"sv,
      "Transfer-Encoding: \vchunked\r\n"sv,
      "Transfer-Encoding : chunked\r\n"sv,
      "Transfer-Encoding: CHUNKED\t\r\n"sv,
  };
  Body body = GenerateChunks(choices);
  body.is_sound = false;
  body.fields = choices.Pick(kFields);
  if (choices.OneIn(2))
    body.bytes = GenerateContent(choices);
  return body;
}

Body GenerateBody(Choices& choices) {
  switch (choices.Below(8)) {
    case 0:
      return {"", "", true, false};
    case 1:
    case 2: {
      Body body{"", GenerateContent(choices), true, true};
      body.fields =
          "Content-Length: " + std::to_string(body.bytes.size()) + "\r\n";
      return body;
    }
    case 3:
    case 4:
    case 5:
      return GenerateChunks(choices);
    default:
      return GenerateOddBody(choices);
  }
}

std::string GenerateFields(Choices& choices, GeneratedMessage& message) {
  constexpr std::array kFields{
      "Accept: */*\r\n"sv,           "A:\r\n"sv,
      "B: a, \"b\"\t\r\n"sv,         "X-Long: "sv,
      "Keep-Alive: timeout=5\r\n"sv, "Last-Event-Id: 3\r\n"sv,
      "Connection: close\r\n"sv};
  constexpr std::array kOddFields{
      "C d: e\r\n"sv,  "C\r\n"sv,       ": e\r\n"sv,     "C: d\r\n e\r\n"sv,
      "C: d\ne\r\n"sv, "C: d\0e\r\n"sv, "C: \x01\r\n"sv, "\r\n"sv,
      "(C): d\r\n"sv,  "C: d\n"sv,      "C\t: d\r\n"sv,  "\xff: d\r\n"sv};
  constexpr std::size_t kLongBytes = 1200;
  std::string fields;
  while (choices.OneIn(3)) {
    const std::string_view field = choices.Pick(kFields);
    fields += field;
    if (field.starts_with("Connection"))
      message.is_last = true;
    if (field.ends_with(" "))
      fields += std::string(kLongBytes, 'z') + "\r\n";
  }
  if (choices.OneIn(16)) {
    message.is_sound = false;
    fields += choices.Pick(kOddFields);
  }
  return fields;
}

// Changes some bytes wherever they stand.
void Damage(Choices& choices, GeneratedMessage& message) {
  if (!choices.OneIn(8))
    return;
  constexpr std::size_t kEndlessBytes = 140'000;
  message.is_sound = false;
  std::string& bytes = message.bytes;
  do {
    const std::size_t position = choices.Below(bytes.size());
    switch (choices.Below(5)) {
      case 0:
        bytes[position] = choices.Character();
        break;
      case 1:
        bytes.insert(position, 1, choices.Character());
        break;
      case 2:
        bytes.erase(position, 1 + choices.Below(3));
        break;
      case 3:
        // Stands for bytes without end: more than any reader may keep.
        if (bytes.size() < kEndlessBytes)
          bytes.insert(position, kEndlessBytes, choices.Character());
        break;
      default:
        bytes.resize(position + 1);
    }
  } while (!bytes.empty() && choices.OneIn(3));
}

// Fields are shuffled, so that those of the framing stand anywhere.
void Assemble(const std::string& start,
              const std::string& fields,
              Choices& choices,
              GeneratedMessage& message) {
  const Body body = GenerateBody(choices);
  const std::string others = GenerateFields(choices, message);
  message.bytes = start;
  message.bytes += choices.OneIn(2) ? body.fields + fields + others
                                    : fields + others + body.fields;
  message.bytes += "\r\n" + body.bytes;
  message.is_sound = message.is_sound && body.is_sound;
  message.until_close = !body.has_end;
  Damage(choices, message);
}

}  // namespace

GeneratedMessage GenerateRequest(Choices& choices, const std::string& fields) {
  constexpr std::array kMethods{"POST"sv, "GET"sv,  "PUT"sv,
                                "HEAD"sv, "BREW"sv, "DELETE"sv};
  constexpr std::array kTargets{"/book/x"sv, "/look/\xc3\xa9?a=b%00"sv,
                                "/talk//../x"sv};
  constexpr std::array kVersions{"HTTP/1.1"sv, "HTTP/1.0"sv};
  constexpr std::array kOddStarts{
      "GET  / HTTP/1.1\r\n"sv, "GET / HTTP/1.1 \r\n"sv,
      "GET / HTTP/2.0\r\n"sv,  "GET / x HTTP/1.1\r\n"sv,
      "GET /\r\n"sv,           "\r\nGET / HTTP/1.1\r\n"sv,
      " GET / HTTP/1.1\r\n"sv, "GET /\tHTTP/1.1\r\n"sv,
      "GET / HTTP/1.1\n"sv,    "G\0T / HTTP/1.1\r\n"sv,
      "GET / http/1.1\r\n"sv,  "GET / HTTP/1.10\r\n"sv};
  GeneratedMessage message;
  std::string start(choices.Pick(kMethods));
  start += " ";
  start += choices.Pick(kTargets);
  const bool is_old = choices.OneIn(16);
  start += " " + std::string(kVersions[is_old ? 1 : 0]) + "\r\n";
  if (choices.OneIn(24)) {
    start = choices.Pick(kOddStarts);
    message.is_sound = false;
  }
  Assemble(start, fields, choices, message);
  // The coding is not known to HTTP/1.0.
  if (is_old) {
    message.is_last = true;
    message.is_sound = false;
  }
  return message;
}

GeneratedMessage GenerateResponse(Choices& choices, const std::string& fields) {
  constexpr std::array kStarts{
      "HTTP/1.1 200 OK\r\n"sv,      "HTTP/1.1 503 Busy\r\n"sv,
      "HTTP/1.1 204 Nothing\r\n"sv, "HTTP/1.1 100 Continue\r\n"sv,
      "HTTP/1.1 304 Same\r\n"sv,    "HTTP/1.1 103 Early\r\n"sv};
  constexpr std::array kOddStarts{
      "HTTP/1.1 101 Other\r\n"sv, "HTTP/1.0 200 OK\r\n"sv,
      "HTTP/1.1 20 OK\r\n"sv,     "HTTP/1.1 2000 OK\r\n"sv,
      "HTTP/1.1  200 OK\r\n"sv,   "HTTP/1.1 200\r\n"sv,
      "HTTP/1.1 200 O\nK\r\n"sv,  "HTTP/1.1 000 OK\r\n"sv,
      "HTTP/1.1 600 OK\r\n"sv,    "HTTP/2 200 OK\r\n"sv,
      "HTTP/1.1 -20 OK\r\n"sv,    "\r\nHTTP/1.1 200 OK\r\n"sv};
  GeneratedMessage message;
  std::string start(choices.Pick(kStarts));
  if (choices.OneIn(16)) {
    start = choices.Pick(kOddStarts);
    message.is_sound = false;
  }
  Assemble(start, fields, choices, message);
  const bool has_no_body =
      !start.starts_with("HTTP/1.1 200") && !start.starts_with("HTTP/1.1 503");
  if (has_no_body) {
    // A body would be the beginning of the next message.
    message.is_sound = message.is_sound && message.until_close;
    message.until_close = false;
  }
  return message;
}

std::vector<std::string> Cut(std::string_view bytes, Choices& choices) {
  constexpr std::size_t kMaxSteps = 400;
  std::vector<std::string> pieces;
  const bool byte_by_byte = choices.OneIn(8);
  while (!bytes.empty()) {
    std::size_t size = bytes.size();
    if (byte_by_byte && pieces.size() < kMaxSteps)
      size = 1;
    else if (choices.OneIn(2))
      size = 1 + choices.Below(bytes.size());
    pieces.emplace_back(bytes.substr(0, size));
    bytes.remove_prefix(size);
  }
  return pieces;
}

}  // namespace bamboomount::fuzz
