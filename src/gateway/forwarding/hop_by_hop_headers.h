#ifndef GATEWAY_FORWARDING_HOP_BY_HOP_HEADERS_H_
#define GATEWAY_FORWARDING_HOP_BY_HOP_HEADERS_H_

#include "gateway/internal/asio.h"

namespace bamboomount {

// Removes the fields that concern only one connection (RFC 9110, 7.6.1),
// those that Connection names included, and the framing of the body.
void RemoveHopByHopHeaders(http::fields& fields);

}  // namespace bamboomount

#endif  // GATEWAY_FORWARDING_HOP_BY_HOP_HEADERS_H_
