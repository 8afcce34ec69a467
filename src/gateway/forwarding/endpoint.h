#ifndef GATEWAY_FORWARDING_ENDPOINT_H_
#define GATEWAY_FORWARDING_ENDPOINT_H_

#include <optional>
#include <string>

#include "gateway/internal/asio.h"

namespace bamboomount {

// Parses "ip:port"; empty if `address` has another form.
std::optional<tcp::endpoint> ParseIpEndpoint(const std::string& address);

}  // namespace bamboomount

#endif  // GATEWAY_FORWARDING_ENDPOINT_H_
