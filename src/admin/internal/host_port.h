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

// Splits "ip:port" and removes the brackets of an IPv6 address. Returns nullopt
// if the host is missing or the port is not a number from 0 to 65535.
std::optional<HostPort> ParseHostPort(const std::string& address);

}  // namespace bamboomount::internal

#endif  // ADMIN_INTERNAL_HOST_PORT_H_
