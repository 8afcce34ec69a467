#ifndef ADMIN_INTERNAL_HEADER_FRAMING_H_
#define ADMIN_INTERNAL_HEADER_FRAMING_H_

#include <cxxtools/http/messageheader.h>

#include "base/base.h"

namespace bamboomount::internal {

// Reads the framing of a message that cxxtools has parsed.
MessageFraming FramingOf(const cxxtools::http::MessageHeader& header);

}  // namespace bamboomount::internal

#endif  // ADMIN_INTERNAL_HEADER_FRAMING_H_
