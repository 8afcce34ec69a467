#ifndef SUPPORT_HTTP_MESSAGE_H_
#define SUPPORT_HTTP_MESSAGE_H_

#include <string>
#include <utility>
#include <vector>

namespace standin {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

struct HttpRequest {
  std::string method;
  // Path and query string as received.
  std::string target;
  HttpHeaders headers;
  std::string body;

  // The target without its query string.
  std::string path() const;
  // Value of the query parameter `name`, not percent-decoded; empty if it is
  // missing.
  std::string query(const std::string& name) const;
  // Value of the first header `name`, compared without case; empty if it is
  // missing.
  std::string header(const std::string& name) const;
};

struct HttpReply {
  int status = 200;
  std::string content_type = "application/json";
  HttpHeaders headers;
  std::string body;
};

}  // namespace standin

#endif  // SUPPORT_HTTP_MESSAGE_H_
