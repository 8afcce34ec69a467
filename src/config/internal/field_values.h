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

// Each reader returns what is wrong with the value, empty if nothing is.
using TextReader = std::string (*)(const nlohmann::json& value,
                                   std::string& text);

// Letters, digits, '.', '_' and '-'; names go into row keys and log lines.
std::string ReadName(const nlohmann::json& value, std::string& text);
std::string ReadNonEmptyText(const nlohmann::json& value, std::string& text);
// "/" and printable characters without space, '?' and '#'.
std::string ReadPath(const nlohmann::json& value, std::string& text);
// "ip:port" with a port from 1 on, IPv6 in brackets.
std::string ReadAddress(const nlohmann::json& value, std::string& text);
// As ReadAddress; port 0 lets the system choose.
std::string ReadListenAddress(const nlohmann::json& value, std::string& text);

// An array of distinct texts.
std::string ReadStringList(const nlohmann::json& value,
                           TextReader reader,
                           std::vector<std::string>& texts);
std::string ReadNumber(const nlohmann::json& value,
                       Range range,
                       double& number);
std::string ReadInteger(const nlohmann::json& value,
                        Range range,
                        std::int64_t& number);

// Shortest decimal text of a bound, without exponent.
std::string FormatNumber(double number);

}  // namespace bamboomount::internal

#endif  // CONFIG_INTERNAL_FIELD_VALUES_H_
