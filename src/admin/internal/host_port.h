#ifndef ADMIN_INTERNAL_HOST_PORT_H_
#define ADMIN_INTERNAL_HOST_PORT_H_

#include <cstdint>
#include <optional>
#include <string>

namespace bamboomount::internal {

struct HostPort {
  std::string host;
  std::uint16_t port = 0;
};

// Splits "ip:port"; IPv6 addresses lose their brackets.
std::optional<HostPort> ParseHostPort(const std::string& address);

}  // namespace bamboomount::internal

#endif  // ADMIN_INTERNAL_HOST_PORT_H_
