#include "support/reply_examples.h"

#include <sstream>
#include <utility>

namespace bamboomount::support {
namespace {

constexpr char kOk[] = "HTTP/1.1 200 OK\r\n";
constexpr char kChunked[] = "Transfer-Encoding: chunked\r\n";
constexpr char kLastChunk[] = "0\r\n\r\n";
constexpr char kContinue[] = "HTTP/1.1 100 Continue\r\n\r\n";

std::string Chunk(const std::string& data) {
  std::ostringstream text;
  text << std::hex << data.size() << "\r\n" << data << "\r\n";
  return text.str();
}

}  // namespace

ReplyExamples::ReplyExamples(std::string fields, std::string body)
    : fields_(std::move(fields)), body_(std::move(body)) {}

std::string ReplyExamples::LengthField() const {
  return "Content-Length: " + std::to_string(body_.size()) + "\r\n";
}

std::string ReplyExamples::Chunks() const {
  const std::size_t half = body_.size() / 2;
  return Chunk(body_.substr(0, half)) + Chunk(body_.substr(half));
}

std::string ReplyExamples::WithStatusLine(
    const std::string& status_line) const {
  return status_line + "\r\n" + fields_ + LengthField() + "\r\n" + body_;
}

std::vector<ReplyExample> ReplyExamples::InvalidStatuses() const {
  std::vector<ReplyExample> examples;
  for (const std::string line :
       {"HTTP/1.1 000 OK",  "HTTP/1.1 001 OK",
        "HTTP/1.1 099 OK",  "HTTP/1.1 101 Switching Protocols",
        "HTTP/1.1 600 OK",  "HTTP/1.1 799 OK",
        "HTTP/1.1 999 OK",  "HTTP/1.1 20 OK",
        "HTTP/1.1 2000 OK", "HTTP/1.1 +20 OK",
        "HTTP/1.1 -20 OK",  "HTTP/1.1 2x0 OK",
        "HTTP/1.1  200 OK", "HTTP/1.1\t200 OK",
        "HTTP/1.1 OK",      "HTTP/2.0 200 OK",
        "HTTP/0.9 200 OK",  "HTTP 200 OK",
        "http/1.1 200 OK",  "HTTP/1.1 200 O\x01K"})
    examples.push_back({line, WithStatusLine(line)});
  // The length is dropped, so that the body ends with its connection.
  for (const std::string status : {"000", "099", "600"})
    examples.push_back(
        {status + " without a length",
         "HTTP/1.1 " + status + " OK\r\n" + fields_ + "\r\n" + body_});
  return examples;
}

std::vector<ReplyExample> ReplyExamples::InvalidFields() const {
  std::vector<ReplyExample> examples;
  for (const std::string line : {"X Odd: 1",
                                 "X-Odd : 1",
                                 "X-Odd\t: 1",
                                 "X\tOdd: 1",
                                 " X-Odd: 1",
                                 "X\x01Odd: 1",
                                 "\x01X-Odd: 1",
                                 "X-Odd\x02: 1",
                                 "X\x0bOdd: 1",
                                 "X\x0cOdd: 1",
                                 "X\x1bOdd: 1",
                                 "X\x7fOdd: 1",
                                 "X-Odd\x7f: 1",
                                 "X\x80Odd: 1",
                                 "X(Odd): 1",
                                 "X\"Odd: 1",
                                 ": 1",
                                 " : 1",
                                 "X-Odd",
                                 "Content-Length : 1",
                                 "Content Length: 1",
                                 "Content-Length\x01: 1",
                                 "Transfer-Encoding : chunked",
                                 "Transfer-Encoding\x0b: chunked",
                                 "Connection : close",
                                 "X-Odd: a\001b",
                                 "X-Odd: a\177b",
                                 "X-Odd: a\rb"}) {
    examples.push_back({line + " first", kOk + line + "\r\n" + fields_ +
                                             LengthField() + "\r\n" + body_});
    examples.push_back({line + " last", kOk + fields_ + LengthField() + line +
                                            "\r\n\r\n" + body_});
    examples.push_back({line + " in a 103",
                        "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\n" +
                            kOk + fields_ + LengthField() + "\r\n" + body_});
    examples.push_back(
        {line + " in a trailer", kOk + fields_ + kChunked + "\r\n" + Chunks() +
                                     "0\r\n" + line + "\r\n\r\n"});
    examples.push_back({line + " without a length",
                        kOk + fields_ + line + "\r\n\r\n" + body_});
  }
  using std::string_literals::operator""s;
  examples.push_back({"null byte", kOk + fields_ + LengthField() +
                                       "X\0Odd: 1\r\n\r\n"s + body_});
  return examples;
}

std::vector<ReplyExample> ReplyExamples::TruncatedHeads() const {
  const std::string head = kOk + fields_;
  return {
      {"nothing", ""},
      {"part of the status line", "HTTP/1.1 20"},
      {"status line without its end", "HTTP/1.1 200 OK"},
      {"status line and return", "HTTP/1.1 200 OK\r"},
      {"status line", kOk},
      {"fields", head},
      {"fields and a return", head + "\r"},
      {"part of a name", head + "Content-Le"},
      {"part of a length", head + "Content-Length: 1"},
      {"length without its end", head + "Content-Length: 0\r"},
      {"length", head + "Content-Length: 0\r\n"},
      {"coding", head + kChunked},
      {"head of a continuation", std::string(kContinue) + head},
  };
}

std::vector<ReplyExample> ReplyExamples::TruncatedBodies() const {
  const std::string with_length = kOk + fields_ + LengthField() + "\r\n";
  const std::string in_chunks = kOk + fields_ + kChunked + "\r\n";
  return {
      {"no byte of a body with a length", with_length},
      {"body without its last byte",
       with_length + body_.substr(0, body_.size() - 1)},
      {"no chunk", in_chunks},
      {"part of a size", in_chunks + "1"},
      {"chunks without the last one", in_chunks + Chunks()},
      {"last chunk without its end", in_chunks + Chunks() + "0\r\n"},
      {"part of a trailer", in_chunks + Chunks() + "0\r\nX-Odd: 1\r\n"},
  };
}

std::vector<ReplyExample> ReplyExamples::SoundReplies() const {
  const std::string head = kOk + fields_;
  const std::string with_length = head + LengthField() + "\r\n" + body_;
  const std::string in_chunks =
      head + kChunked + "\r\n" + Chunks() + kLastChunk;
  const std::string until_close = head + "\r\n" + body_;
  return {
      {"with a length", with_length},
      {"in chunks", in_chunks},
      {"chunks with an extension and a trailer",
       head + kChunked + "\r\n" + "1;a=b\r\n" + body_.substr(0, 1) + "\r\n" +
           Chunk(body_.substr(1)) + "0\r\nX-Checksum: 1\r\n\r\n"},
      {"until the close", until_close},
      {"until the close, in HTTP/1.0",
       "HTTP/1.0 200 OK\r\n" + fields_ + "\r\n" + body_},
      {"without a reason",
       "HTTP/1.1 200 \r\n" + fields_ + LengthField() + "\r\n" + body_},
      {"with an empty field",
       head + "X-Empty:\r\n" + LengthField() + "\r\n" + body_},
      {"with a length after a 100", kContinue + with_length},
      {"in chunks after a 100", kContinue + in_chunks},
      {"until the close after a 100", kContinue + until_close},
      {"after a 102 and a 103",
       "HTTP/1.1 102 Processing\r\n\r\n"
       "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" +
           with_length},
  };
}

}  // namespace bamboomount::support
