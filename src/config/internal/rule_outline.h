#ifndef CONFIG_INTERNAL_RULE_OUTLINE_H_
#define CONFIG_INTERNAL_RULE_OUTLINE_H_

#include <string>
#include <string_view>
#include <vector>

#include "config/config_error.h"
#include "config/internal/object_scan.h"

namespace bamboomount::internal {

// A line of a service configuration that contains a rule. Offsets of `scan`
// are relative to the opening brace.
struct RuleLine {
  // Counts from 1.
  int line = 0;
  // Column of the opening brace, counting from 1.
  int column = 0;
  std::string_view text;
  ObjectScan scan;
  // Name of the array that contains the rule; empty if there is none.
  std::string section;

  TextPositions positions() const { return {text, line, column}; }
};

// The rules of a configuration text by line, and the errors in its structure.
struct RuleOutline {
  std::vector<RuleLine> rules;
  std::vector<ConfigError> errors;
};

// Splits `text` into rules by line. Each rule is parsed separately, so that an
// error in one does not hide errors in another; the rest of the text is parsed
// with every rule replaced by an empty object. `text` must outlive the result.
RuleOutline ReadRuleOutline(std::string_view text,
                            const std::vector<std::string_view>& sections);

}  // namespace bamboomount::internal

#endif  // CONFIG_INTERNAL_RULE_OUTLINE_H_
