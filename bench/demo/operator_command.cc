#include "operator_command.h"

#include <sys/wait.h>

#include <nlohmann/json.hpp>

#include "support/child_process.h"

namespace bamboomount {
namespace {

// Searches depth first. Returns an empty string if no member is called `name`.
std::string FindMember(const nlohmann::json& json, const std::string& name) {
  if (json.is_object() && json.contains(name)) {
    const nlohmann::json& value = json[name];
    return value.is_string() ? value.get<std::string>() : value.dump();
  }
  if (!json.is_structured())
    return "";
  for (const auto& child : json) {
    std::string found = FindMember(child, name);
    if (!found.empty())
      return found;
  }
  return "";
}

}  // namespace

std::string CommandResult::Member(const std::string& name) const {
  return FindMember(nlohmann::json::parse(output, nullptr, false), name);
}

CommandResult RunOperatorCommand(const std::string& programs,
                                 std::vector<std::string> arguments) {
  arguments.insert(arguments.end(), {"--output", "json"});
  support::ChildProcess process(programs + "/bamboomount", arguments);
  CommandResult result;
  while (const auto line = process.ReadLine())
    result.output += *line + "\n";
  const int status = process.Wait();
  result.exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  return result;
}

}  // namespace bamboomount
