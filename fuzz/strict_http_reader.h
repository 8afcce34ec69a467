#ifndef FUZZ_STRICT_HTTP_READER_H_
#define FUZZ_STRICT_HTTP_READER_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bamboomount::fuzz {

enum class StrictVerdict {
  kComplete,
  // The bytes are the beginning of a message.
  kIncomplete,
  // Another reader could find another end, or the bytes are no HTTP.
  kRefused,
};

// A message as the strict reader sees it.
struct StrictMessage {
  StrictVerdict verdict = StrictVerdict::kRefused;
  // Parts of the start line: method, target and version, or version, status
  // and reason.
  std::vector<std::string> start;
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;
  // Number of bytes of the message.
  std::size_t size = 0;
  // The body of a response ends with its connection.
  bool until_close = false;

  // The value of the first such field, empty if there is none.
  std::string Field(std::string_view name) const;
};

// Reads the first message of `bytes` by the letter of RFC 9112 and shares no
// code with the readers of the product.
StrictMessage ReadRequestStrictly(std::string_view bytes);
// `answers_head`: the response to a HEAD request, which has no body.
StrictMessage ReadResponseStrictly(std::string_view bytes, bool answers_head);

}  // namespace bamboomount::fuzz

#endif  // FUZZ_STRICT_HTTP_READER_H_
