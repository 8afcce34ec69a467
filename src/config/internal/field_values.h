#ifndef CONFIG_INTERNAL_FIELD_VALUES_H_
#define CONFIG_INTERNAL_FIELD_VALUES_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace bamboomount::internal {

// Inclusive bounds.
struct Range {
  double minimum;
  double maximum;
};

// All readers return an error message, empty on success.
using TextReader = std::string (*)(const nlohmann::json& value,
                                   std::string& text);

// Accepts 1 to 128 letters, digits, '.', '_' and '-'. Names are used in row
// keys and log lines.
std::string ReadName(const nlohmann::json& value, std::string& text);
std::string ReadNonEmptyText(const nlohmann::json& value, std::string& text);
// Accepts "/" followed by printable ASCII characters except space, '?' and '#'.
std::string ReadPath(const nlohmann::json& value, std::string& text);
// Accepts "ip:port" with a port from 1 to 65535, IPv6 addresses in brackets.
std::string ReadAddress(const nlohmann::json& value, std::string& text);
// Like ReadAddress, but also accepts port 0, with which the system chooses one.
std::string ReadListenAddress(const nlohmann::json& value, std::string& text);

// Accepts an array of distinct strings that `reader` accepts.
std::string ReadStringList(const nlohmann::json& value,
                           TextReader reader,
                           std::vector<std::string>& texts);
std::string ReadNumber(const nlohmann::json& value,
                       Range range,
                       double& number);
std::string ReadInteger(const nlohmann::json& value,
                        Range range,
                        std::int64_t& number);

// Returns the shortest decimal text of a number, without exponent.
std::string FormatNumber(double number);

}  // namespace bamboomount::internal

#endif  // CONFIG_INTERNAL_FIELD_VALUES_H_
