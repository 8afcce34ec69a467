#include <tclap/CmdLine.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

#include "entry_process.h"
#include "settings_file.h"

namespace bamboomount {
namespace {

constexpr char kSettingsVariable[] = "BAMBOOMOUNT_SETTINGS";
constexpr char kVersion[] = "0.2";

std::string DefaultSettingsPath() {
  const char* path = std::getenv(kSettingsVariable);
  return path ? path : "/etc/bamboomount/entry.json";
}

int Run(int argc, char** argv) {
  TCLAP::CmdLine command_line(
      "Entry instance of bamboomount: serves callers and shares its state "
      "through the platform's store.",
      ' ', kVersion);
  TCLAP::ValueArg<std::string> path(
      "s", "settings",
      std::string("settings file; the default is $") + kSettingsVariable, false,
      DefaultSettingsPath(), "PATH", command_line);
  TCLAP::SwitchArg check("c", "check", "check the settings file and exit",
                         command_line);
  command_line.parse(argc, argv);
  const SettingsFile file(path.getValue());
  const ParsedSettings parsed = file.Read();
  for (const std::string& error : parsed.errors)
    std::cerr << path.getValue() << ": " << error << '\n';
  if (!parsed.errors.empty())
    return EXIT_FAILURE;
  if (check.getValue())
    return EXIT_SUCCESS;
  return RunEntryProcess(parsed.settings, file);
}

}  // namespace
}  // namespace bamboomount

int main(int argc, char** argv) {
  // Writing to a pipe or connection whose other end is closed must not end the
  // process.
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return bamboomount::Run(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "bamboomount_entry: " << error.what() << '\n';
    return EXIT_FAILURE;
  }
}
