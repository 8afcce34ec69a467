#ifndef COMMAND_RULE_DIFF_H_
#define COMMAND_RULE_DIFF_H_

#include <string>

namespace bamboomount {

// The lines that only one of two configurations has: "- " for `before`, "+ "
// for `after`. The order of rules means nothing and is not compared, nor are
// indents and the commas between rules. Empty if nothing differs.
std::string DiffRules(const std::string& before, const std::string& after);

}  // namespace bamboomount

#endif  // COMMAND_RULE_DIFF_H_
