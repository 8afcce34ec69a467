#ifndef FUZZ_HTTP_GRAMMAR_H_
#define FUZZ_HTTP_GRAMMAR_H_

#include <string>
#include <string_view>
#include <vector>

#include "fuzz/choices.h"

namespace bamboomount::fuzz {

struct GeneratedMessage {
  std::string bytes;
  // Every reader must accept the message; false as soon as a rule of HTTP is
  // broken or bent.
  bool is_sound = true;
  // The sender closes the connection after the message, or expects the receiver
  // to do so.
  bool is_last = false;
  // A response that ends with its connection.
  bool until_close = false;
};

// A request with the given fields, which include Host, besides its own.
// `fields` ends with a line end.
GeneratedMessage GenerateRequest(Choices& choices, const std::string& fields);
GeneratedMessage GenerateResponse(Choices& choices, const std::string& fields);
// Cuts the bytes into the pieces in which they arrive.
std::vector<std::string> Cut(std::string_view bytes, Choices& choices);

}  // namespace bamboomount::fuzz

#endif  // FUZZ_HTTP_GRAMMAR_H_
