#ifndef SUPPORT_FRAMING_EXAMPLES_H_
#define SUPPORT_FRAMING_EXAMPLES_H_

#include <string>
#include <vector>

namespace bamboomount::support {

// A message whose end recipients could disagree about.
struct FramingExample {
  std::string name;
  // "HTTP/1.1" or "HTTP/1.0".
  std::string version;
  // The fields that give the length of the body, each with its line end.
  std::string fields;
};

// Heads after which `body_size` bytes follow. Each is either rejected by the
// HTTP parser or has to be rejected by its reader.
inline std::vector<FramingExample> AmbiguousFramings(std::size_t body_size) {
  const std::string length =
      "Content-Length: " + std::to_string(body_size) + "\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  return {
      {"unknown coding", "HTTP/1.1", "Transfer-Encoding: gzip\r\n"},
      {"chunked is not the last coding", "HTTP/1.1",
       "Transfer-Encoding: chunked, identity\r\n"},
      {"coding before chunked", "HTTP/1.1",
       "Transfer-Encoding: gzip, chunked\r\n"},
      {"coding in a field of its own", "HTTP/1.1",
       "Transfer-Encoding: gzip\r\n" + chunked},
      {"unknown coding after chunked", "HTTP/1.1",
       chunked + "Transfer-Encoding: gzip\r\n"},
      {"empty coding", "HTTP/1.1", "Transfer-Encoding:\r\n"},
      {"coding with a parameter", "HTTP/1.1",
       "Transfer-Encoding: chunked;q=1\r\n"},
      {"coding and length", "HTTP/1.1", "Transfer-Encoding: gzip\r\n" + length},
      {"length and coding", "HTTP/1.1", length + "Transfer-Encoding: gzip\r\n"},
      {"chunked and length", "HTTP/1.1", chunked + length},
      {"two lengths", "HTTP/1.1", length + "Content-Length: 0\r\n"},
      {"list of lengths", "HTTP/1.1", "Content-Length: 0, 5\r\n"},
      {"signed length", "HTTP/1.1", "Content-Length: +5\r\n"},
      {"length without digits", "HTTP/1.1", "Content-Length: x\r\n"},
      {"chunked in HTTP/1.0", "HTTP/1.0", chunked},
  };
}

}  // namespace bamboomount::support

#endif  // SUPPORT_FRAMING_EXAMPLES_H_
