#ifndef CONFIG_LIMIT_TABLE_H_
#define CONFIG_LIMIT_TABLE_H_

#include <string_view>
#include <vector>

namespace bamboomount {

// What the array "limits" of a service configuration may set.
struct LimitSpec {
  std::string_view name;
  std::string_view unit;
  // In force when the configuration does not name the limit.
  double default_value;
  double minimum;
  double maximum;
  std::string_view meaning;
};

const std::vector<LimitSpec>& LimitTable();
// nullptr for unknown names.
const LimitSpec* FindLimitSpec(std::string_view name);

}  // namespace bamboomount

#endif  // CONFIG_LIMIT_TABLE_H_
