#ifndef COMMAND_RULE_DIFF_H_
#define COMMAND_RULE_DIFF_H_

#include <string>

namespace bamboomount {

// Returns the lines that only one of two configurations has, with the prefix
// "- " for `before` and "+ " for `after`; empty if they do not differ. Ignores
// the order of rules, which has no meaning, indentation, and the commas between
// rules.
std::string DiffRules(const std::string& before, const std::string& after);

}  // namespace bamboomount

#endif  // COMMAND_RULE_DIFF_H_
