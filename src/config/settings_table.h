#ifndef CONFIG_SETTINGS_TABLE_H_
#define CONFIG_SETTINGS_TABLE_H_

#include <string_view>
#include <vector>

namespace bamboomount {

// A field of the settings file, as documented in docs/settings.md.
struct SettingSpec {
  std::string_view name;
  bool required;
  // Empty for required fields.
  std::string_view default_text;
  std::string_view meaning;
};

// Returns all fields that ReadProcessSettings accepts.
std::vector<SettingSpec> SettingTable();

}  // namespace bamboomount

#endif  // CONFIG_SETTINGS_TABLE_H_
