#ifndef ENGINE_ORDER_LOG_H_
#define ENGINE_ORDER_LOG_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "support/http_message.h"

namespace standin {

// Orders to the engine: load a model, adapter or version, or change role.
class OrderLog {
 public:
  explicit OrderLog(bool check_fencing) : check_fencing_(check_fencing) {}

  // Answers 409 to an old fencing token if tokens are checked.
  HttpReply Submit(const std::string& body);
  // All orders in order of arrival, with "accepted".
  HttpReply List() const;

 private:
  const bool check_fencing_;
  std::uint64_t highest_token_ = 0;
  nlohmann::json orders_ = nlohmann::json::array();
};

}  // namespace standin

#endif  // ENGINE_ORDER_LOG_H_
