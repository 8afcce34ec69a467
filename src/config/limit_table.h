#ifndef CONFIG_LIMIT_TABLE_H_
#define CONFIG_LIMIT_TABLE_H_

#include <string_view>
#include <vector>

namespace bamboomount {

// A limit that the array "limits" of a service configuration can set.
struct LimitSpec {
  std::string_view name;
  std::string_view unit;
  // Used when the configuration does not set the limit. In `unit`, as are the
  // inclusive bounds.
  double default_value;
  double minimum;
  double maximum;
  std::string_view meaning;
};

const std::vector<LimitSpec>& LimitTable();
// Returns nullptr for an unknown name.
const LimitSpec* FindLimitSpec(std::string_view name);

}  // namespace bamboomount

#endif  // CONFIG_LIMIT_TABLE_H_
