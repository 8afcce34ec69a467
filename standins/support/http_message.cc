#include "support/http_message.h"

#include <strings.h>

namespace standin {

std::string HttpRequest::path() const {
  return target.substr(0, target.find('?'));
}

std::string HttpRequest::query(const std::string& name) const {
  std::size_t start = target.find('?');
  while (start != std::string::npos) {
    const std::size_t end = target.find('&', start + 1);
    const std::string pair = target.substr(start + 1, end - start - 1);
    if (pair.compare(0, name.size() + 1, name + "=") == 0) {
      return pair.substr(name.size() + 1);
    }
    start = end;
  }
  return "";
}

std::string HttpRequest::header(const std::string& name) const {
  for (const auto& [candidate, value] : headers) {
    if (strcasecmp(candidate.c_str(), name.c_str()) == 0) {
      return value;
    }
  }
  return "";
}

}  // namespace standin
