#include <tclap/CmdLine.h>

#include <exception>
#include <fstream>
#include <iostream>
#include <sstream>

#include "controller_process.h"
#include "events.h"
#include "router_process.h"

namespace {

using namespace bamboomount;

constexpr int kExitOk = 0;
constexpr int kExitFailure = 1;
constexpr int kExitBadSettings = 2;

struct Arguments {
  std::string role;
  std::string settings_path;
};

Arguments ParseArguments(int argc, char** argv) {
  TCLAP::CmdLine command_line(
      "Router for language-model traffic with service levels.", ' ', "0.1");
  std::vector<std::string> roles{"router", "controller"};
  TCLAP::ValuesConstraint<std::string> role_names(roles);
  TCLAP::ValueArg<std::string> role("r", "role", "Role of this process", true,
                                    "", &role_names, command_line);
  TCLAP::ValueArg<std::string> settings(
      "s", "settings", "Settings of this process, JSON with comments", true, "",
      "FILE", command_line);
  command_line.parse(argc, argv);
  return {role.getValue(), settings.getValue()};
}

// Prints every error and returns nullopt if the settings are invalid.
std::optional<ProcessSettings> LoadSettings(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    std::cerr << path << ": cannot be read\n";
    return std::nullopt;
  }
  std::ostringstream text;
  text << file.rdbuf();
  auto reading = ReadProcessSettings(text.str());
  for (const ConfigError& error : reading.errors)
    std::cerr << path << ":" << error.line << ":" << error.column << ": "
              << error.message << "\n";
  if (!reading.errors.empty())
    return std::nullopt;
  return std::move(reading.settings);
}

int RunRole(const std::string& role, const ProcessSettings& settings) {
  const StopSignal stop;
  SetLogProcess(role + "/" + settings.instance.value());
  Log(kProcessStarted, {{"role", role}});
  if (role == "router")
    RouterProcess(settings).Run(stop);
  else
    RunControllerProcess(settings, stop);
  Log(kProcessStopped);
  return kExitOk;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    const Arguments arguments = ParseArguments(argc, argv);
    const auto settings = LoadSettings(arguments.settings_path);
    if (!settings)
      return kExitBadSettings;
    return RunRole(arguments.role, *settings);
  } catch (const std::exception& exception) {
    std::cerr << "bamboomountd: " << exception.what() << "\n";
    return kExitFailure;
  }
}
