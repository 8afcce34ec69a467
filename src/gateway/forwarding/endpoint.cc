#include "gateway/forwarding/endpoint.h"

#include <charconv>
#include <cstdint>

namespace bamboomount {

std::optional<tcp::endpoint> ParseIpEndpoint(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos)
    return std::nullopt;
  error_code error;
  const auto ip = asio::ip::make_address(address.substr(0, colon), error);
  std::uint16_t port = 0;
  const char* end = address.data() + address.size();
  const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
  if (error || parsed.ec != std::errc() || parsed.ptr != end)
    return std::nullopt;
  return tcp::endpoint(ip, port);
}

}  // namespace bamboomount
