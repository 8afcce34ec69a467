#include "config/internal/field_values.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace bamboomount::internal {
namespace {

using Json = nlohmann::json;

// Names go into row keys; the platform's table takes far longer ones.
constexpr std::size_t kMaxNameLength = 128;
constexpr int kMaxPort = 65535;

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
}

bool IsPathCharacter(char c) {
  return c > ' ' && c < '\x7f' && c != '?' && c != '#';
}

bool IsIpAddress(const std::string& host) {
  in_addr v4{};
  if (inet_pton(AF_INET, host.c_str(), &v4) == 1)
    return true;
  if (host.size() < 2 || host.front() != '[' || host.back() != ']')
    return false;
  in6_addr v6{};
  return inet_pton(AF_INET6, host.substr(1, host.size() - 2).c_str(), &v6) == 1;
}

std::string ReadAddressWithMinPort(const Json& value,
                                   int min_port,
                                   std::string& text) {
  static const std::string fault = "must be \"ip:port\"";
  if (!value.is_string())
    return fault;
  text = value.get<std::string>();
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos || !IsIpAddress(text.substr(0, colon)))
    return fault;
  int port = -1;
  const char* end = text.data() + text.size();
  const auto [stop, error] =
      std::from_chars(text.data() + colon + 1, end, port);
  if (error != std::errc() || stop != end || port < min_port || port > kMaxPort)
    return fault + " with a port from " + std::to_string(min_port) + " to " +
           std::to_string(kMaxPort);
  return {};
}

std::string RangeMessage(Range range) {
  return "must lie from " + FormatNumber(range.minimum) + " to " +
         FormatNumber(range.maximum);
}

}  // namespace

std::string ReadName(const Json& value, std::string& text) {
  if (!value.is_string())
    return "must be a text";
  text = value.get<std::string>();
  if (text.empty() || text.size() > kMaxNameLength ||
      !std::all_of(text.begin(), text.end(), IsNameCharacter))
    return "must be 1 to " + std::to_string(kMaxNameLength) +
           " letters, digits, '.', '_' or '-'";
  return {};
}

std::string ReadNonEmptyText(const Json& value, std::string& text) {
  if (!value.is_string() || value.get<std::string>().empty())
    return "must be a text that is not empty";
  text = value.get<std::string>();
  return {};
}

std::string ReadPath(const Json& value, std::string& text) {
  if (!value.is_string())
    return "must be a text";
  text = value.get<std::string>();
  if (text.empty() || text.front() != '/' ||
      !std::all_of(text.begin(), text.end(), IsPathCharacter))
    return "must be a path that starts with '/', without '?' and '#'";
  return {};
}

std::string ReadAddress(const Json& value, std::string& text) {
  return ReadAddressWithMinPort(value, 1, text);
}

std::string ReadListenAddress(const Json& value, std::string& text) {
  return ReadAddressWithMinPort(value, 0, text);
}

std::string ReadStringList(const Json& value,
                           TextReader reader,
                           std::vector<std::string>& texts) {
  if (!value.is_array())
    return "must be an array";
  for (const Json& element : value) {
    std::string text;
    std::string fault = reader(element, text);
    if (!fault.empty())
      return "has an element that " + fault;
    if (std::find(texts.begin(), texts.end(), text) != texts.end())
      return "names \"" + text + "\" twice";
    texts.push_back(std::move(text));
  }
  return {};
}

std::string ReadNumber(const Json& value, Range range, double& number) {
  if (!value.is_number())
    return "must be a number";
  const double candidate = value.get<double>();
  if (!std::isfinite(candidate) || candidate < range.minimum ||
      candidate > range.maximum)
    return RangeMessage(range);
  number = candidate;
  return {};
}

std::string ReadInteger(const Json& value, Range range, std::int64_t& number) {
  double candidate = 0;
  if (!value.is_number_integer())
    return "must be a whole number";
  std::string fault = ReadNumber(value, range, candidate);
  if (fault.empty())
    number = static_cast<std::int64_t>(candidate);
  return fault;
}

std::string FormatNumber(double number) {
  // Long enough for every bound of a table, the largest being 1e18.
  char buffer[32];
  const auto result = std::to_chars(std::begin(buffer), std::end(buffer),
                                    number, std::chars_format::fixed);
  return {buffer, result.ptr};
}

}  // namespace bamboomount::internal
