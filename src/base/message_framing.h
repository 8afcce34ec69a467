#ifndef BASE_MESSAGE_FRAMING_H_
#define BASE_MESSAGE_FRAMING_H_

#include <string>
#include <vector>

namespace bamboomount {

// The parts of an HTTP message's head that determine where its body ends.
struct MessageFraming {
  // 11 for HTTP/1.1.
  unsigned version = 11;
  // Values of all Transfer-Encoding fields, in order.
  std::vector<std::string> transfer_encodings;
  // Values of all Content-Length fields, in order.
  std::vector<std::string> content_lengths;
};

// Reads the framing of a Boost.Beast message. `Header` is http::header.
template <typename Header>
MessageFraming FramingOf(const Header& header) {
  MessageFraming framing{header.version(), {}, {}};
  const auto collect = [&header](const char* name,
                                 std::vector<std::string>& values) {
    const auto [begin, end] = header.equal_range(name);
    for (auto field = begin; field != end; ++field)
      values.emplace_back(field->value());
  };
  collect("Transfer-Encoding", framing.transfer_encodings);
  collect("Content-Length", framing.content_lengths);
  return framing;
}

// Whether every recipient finds the same end of the body: the message has at
// most one Content-Length, or "chunked" as its only transfer coding, but not
// both. Bytes after a body whose end is in doubt could be taken for another
// message (RFC 9112, 6.1 to 6.3). Other transfer codings are not decoded here,
// so a message with one of them is refused as well. A response with neither
// field ends with its connection, which is unambiguous.
bool IsUnambiguous(const MessageFraming& framing);

}  // namespace bamboomount

#endif  // BASE_MESSAGE_FRAMING_H_
