#include "router/internal/endpoint.h"

#include <charconv>

namespace bamboomount {

std::optional<tcp::endpoint> ParseEndpoint(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos)
    return std::nullopt;
  std::string host = address.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']')
    host = host.substr(1, host.size() - 2);
  unsigned short port = 0;
  const char* const end = address.data() + address.size();
  const auto [parsed_end, parse_error] =
      std::from_chars(address.data() + colon + 1, end, port);
  error_code error;
  const auto ip = asio::ip::make_address(host, error);
  if (error || parse_error != std::errc() || parsed_end != end)
    return std::nullopt;
  return tcp::endpoint(ip, port);
}

}  // namespace bamboomount
