#ifndef CONFIG_INTERNAL_RULE_OUTLINE_H_
#define CONFIG_INTERNAL_RULE_OUTLINE_H_

#include <string>
#include <string_view>
#include <vector>

#include "config/config_error.h"
#include "config/internal/object_scan.h"

namespace bamboomount::internal {

// One line of a service configuration that holds a rule. Offsets of `scan`
// count from the opening brace.
struct RuleLine {
  int line = 0;
  // Column of the opening brace.
  int column = 0;
  std::string_view text;
  ObjectScan scan;
  // Name of the array that the rule stands in; empty if it is in none.
  std::string section;

  TextPositions positions() const { return {text, line, column}; }
};

struct RuleOutline {
  std::vector<RuleLine> rules;
  std::vector<ConfigError> errors;
};

// Splits `text` into rules by line. Each rule is parsed on its own, so that a
// fault in one hides no fault in another; the rest of the text is parsed with
// every rule replaced by an empty object. `text` must outlive the result.
RuleOutline ReadRuleOutline(std::string_view text,
                            const std::vector<std::string_view>& sections);

}  // namespace bamboomount::internal

#endif  // CONFIG_INTERNAL_RULE_OUTLINE_H_
