#include "command/command_registry.h"

#include <tclap/ArgException.h>

#include <algorithm>

#include "command/config_commands.h"
#include "command/fleet_commands.h"
#include "command/key_commands.h"

namespace bamboomount {
namespace {

constexpr std::size_t kNameColumnWidth = 20;

std::string FirstWord(const std::string& name) {
  return name.substr(0, name.find(' '));
}

bool IsHelp(const std::string& word) {
  return word == "--help" || word == "-h" || word == "help";
}

// Lists the commands whose first word is `group`, or all of them.
void WriteCommandList(const std::string& group, std::ostream& out) {
  out << "Usage: bamboomount COMMAND [OPTIONS]\n\nCommands:\n";
  for (const auto& command : Commands()) {
    const std::string name = command->name();
    if (!group.empty() && FirstWord(name) != group)
      continue;
    const std::size_t width = std::max(kNameColumnWidth, name.size() + 1);
    out << "  " << name << std::string(width - name.size(), ' ')
        << command->summary() << "\n";
  }
  out << "\n\"bamboomount COMMAND --help\" shows the options of a command. "
         "docs/cli.md lists the exit codes.\n";
}

// The command whose words `args` start with; `name_word_count` is their number.
const Command* FindCommand(const std::vector<std::string>& args,
                           std::size_t& name_word_count) {
  for (const auto& command : Commands()) {
    for (const std::size_t count : {std::size_t{1}, std::size_t{2}}) {
      if (args.size() < count)
        continue;
      const std::string words = count == 1 ? args[0] : args[0] + " " + args[1];
      if (words != command->name())
        continue;
      name_word_count = count;
      return command.get();
    }
  }
  return nullptr;
}

ExitCode ReportUnknownCommand(const std::vector<std::string>& args,
                              Console& console) {
  const bool is_group = std::any_of(
      Commands().begin(), Commands().end(), [&](const auto& command) {
        return !args.empty() && FirstWord(command->name()) == args[0];
      });
  if (is_group && args.size() == 2 && IsHelp(args[1])) {
    WriteCommandList(args[0], console.out());
    return ExitCode::kSuccess;
  }
  if (!args.empty())
    console.err() << "error: unknown command\n\n";
  WriteCommandList(is_group ? args[0] : std::string(), console.err());
  return ExitCode::kUsage;
}

}  // namespace

const CommandList& Commands() {
  static const CommandList commands = [] {
    CommandList list;
    AddConfigCommands(list);
    AddKeyCommands(list);
    AddFleetCommands(list);
    return list;
  }();
  return commands;
}

ExitCode RunCommandLine(const std::vector<std::string>& args,
                        Console& console) {
  if (args.size() == 1 && IsHelp(args[0])) {
    WriteCommandList({}, console.out());
    return ExitCode::kSuccess;
  }
  std::size_t name_word_count = 0;
  const Command* command = FindCommand(args, name_word_count);
  if (command == nullptr)
    return ReportUnknownCommand(args, console);
  try {
    const auto result = command->Run(
        {args.begin() + static_cast<std::ptrdiff_t>(name_word_count),
         args.end()},
        console);
    if (result)
      return result.value();
    console.WriteError(result.error());
    return ExitCodeOf(result.error().code);
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus() == 0 ? ExitCode::kSuccess : ExitCode::kUsage;
  } catch (const TCLAP::ArgException& error) {
    console.err() << "error: " << error.error() << " " << error.argId()
                  << "\n\"bamboomount " << command->name()
                  << " --help\" shows the options.\n";
    return ExitCode::kUsage;
  }
}

}  // namespace bamboomount
