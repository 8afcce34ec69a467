#ifndef ROUTER_INTERNAL_ENDPOINT_H_
#define ROUTER_INTERNAL_ENDPOINT_H_

#include <optional>
#include <string>

#include "router/internal/asio.h"

namespace bamboomount {

// Parses "ip:port" ("[ip]:port" for IPv6). Returns nothing if `address` has
// another form.
std::optional<tcp::endpoint> ParseEndpoint(const std::string& address);

}  // namespace bamboomount

#endif  // ROUTER_INTERNAL_ENDPOINT_H_
