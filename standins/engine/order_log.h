#ifndef ENGINE_ORDER_LOG_H_
#define ENGINE_ORDER_LOG_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "support/http_message.h"

namespace standin {

// Log of the orders sent to the engine: load a model, adapter or version, or
// change role. Not thread-safe.
class OrderLog {
 public:
  explicit OrderLog(bool check_fencing) : check_fencing_(check_fencing) {}

  // Appends the order in the JSON text `body`, also if it is refused. Returns
  // 202 if it was accepted, 400 if it is malformed (it is not logged then), and
  // 409 if tokens are checked and its fencing token is stale.
  HttpReply Submit(const std::string& body);
  // Returns all logged orders in order of arrival, each with "accepted".
  HttpReply List() const;

 private:
  const bool check_fencing_;
  std::uint64_t highest_token_ = 0;
  nlohmann::json orders_ = nlohmann::json::array();
};

}  // namespace standin

#endif  // ENGINE_ORDER_LOG_H_
