#include "support/seen_log.h"

#include <nlohmann/json.hpp>

#include "support/json_text.h"

namespace standin {

void SeenLog::Add(const HttpRequest& request) {
  requests_.push_back(request);
  if (requests_.size() > kCapacity) {
    requests_.pop_front();
  }
}

std::string SeenLog::ToJson() const {
  nlohmann::json list = nlohmann::json::array();
  for (const HttpRequest& request : requests_) {
    list.push_back({{"method", request.method},
                    {"target", request.target},
                    {"headers", request.headers},
                    {"body", request.body}});
  }
  return ToText({{"requests", list}});
}

}  // namespace standin
