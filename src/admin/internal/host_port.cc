#include "admin/internal/host_port.h"

#include <charconv>

namespace bamboomount::internal {

std::optional<HostPort> ParseHostPort(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos || colon == 0)
    return std::nullopt;
  HostPort parsed{address.substr(0, colon), 0};
  const char* end = address.data() + address.size();
  const auto [stop, error] =
      std::from_chars(address.data() + colon + 1, end, parsed.port);
  if (error != std::errc() || stop != end)
    return std::nullopt;
  if (parsed.host.front() == '[' && parsed.host.back() == ']')
    parsed.host = parsed.host.substr(1, parsed.host.size() - 2);
  return parsed;
}

}  // namespace bamboomount::internal
