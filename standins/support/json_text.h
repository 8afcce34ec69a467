#ifndef SUPPORT_JSON_TEXT_H_
#define SUPPORT_JSON_TEXT_H_

#include <nlohmann/json.hpp>
#include <string>

namespace standin {

// JSON text of `value`. Bad UTF-8 is replaced, since logs hold whatever a
// caller sent.
inline std::string ToText(const nlohmann::json& value) {
  return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace standin

#endif  // SUPPORT_JSON_TEXT_H_
