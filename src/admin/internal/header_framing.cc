#include "admin/internal/header_framing.h"

#include <strings.h>

namespace bamboomount::internal {

MessageFraming FramingOf(const cxxtools::http::MessageHeader& header) {
  constexpr unsigned kVersionBase = 10;
  MessageFraming framing;
  framing.version =
      header.httpVersionMajor() * kVersionBase + header.httpVersionMinor();
  for (auto field = header.begin(); field != header.end(); ++field) {
    if (strcasecmp(field->first, "Transfer-Encoding") == 0)
      framing.transfer_encodings.emplace_back(field->second);
    if (strcasecmp(field->first, "Content-Length") == 0)
      framing.content_lengths.emplace_back(field->second);
  }
  return framing;
}

}  // namespace bamboomount::internal
