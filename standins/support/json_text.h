#ifndef SUPPORT_JSON_TEXT_H_
#define SUPPORT_JSON_TEXT_H_

#include <nlohmann/json.hpp>
#include <string>

namespace standin {

// Serializes `value` as JSON. Invalid UTF-8 is replaced instead of raising an
// error, because logged requests may contain arbitrary bytes.
inline std::string ToText(const nlohmann::json& value) {
  return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace standin

#endif  // SUPPORT_JSON_TEXT_H_
