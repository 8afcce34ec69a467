#include "gateway/forwarding/request_target.h"

#include <algorithm>

namespace bamboomount {

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

std::string QueryValue(std::string_view target, std::string_view name) {
  const std::size_t start = target.find('?');
  if (start == std::string_view::npos)
    return {};
  std::string_view query = target.substr(start + 1);
  while (!query.empty()) {
    const std::string_view pair = query.substr(0, query.find('&'));
    const std::size_t equals = pair.find('=');
    if (equals != std::string_view::npos && pair.substr(0, equals) == name)
      return std::string(pair.substr(equals + 1));
    query.remove_prefix(std::min(query.size(), pair.size() + 1));
  }
  return {};
}

}  // namespace bamboomount
