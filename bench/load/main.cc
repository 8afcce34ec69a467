#include <sys/resource.h>
#include <tclap/CmdLine.h>

#include <iostream>
#include <sstream>

#include "load/load_options.h"
#include "load/load_report.h"
#include "load/load_run.h"

namespace {

using bamboomount::LevelReport;
using bamboomount::LoadKind;
using bamboomount::LoadOptions;
using bamboomount::LoadTarget;

// Upper bounds for command line arguments, so that a mistyped number does not
// exhaust the machine.
constexpr int kMaxLevel = 4096;
constexpr int kMaxRequests = 100000;
constexpr int kExitUsage = 2;
constexpr int kExitFailures = 1;

std::vector<int> ReadLevels(const std::string& text) {
  std::vector<int> levels;
  std::istringstream in(text);
  for (std::string part; std::getline(in, part, ',');) {
    levels.push_back(std::stoi(part));
  }
  return levels;
}

LoadOptions ReadOptions(int argc, char** argv) {
  LoadOptions defaults;
  TCLAP::CmdLine command(
      "Compares a router with direct requests to a backend server.");
  TCLAP::ValueArg<std::string> direct("", "direct",
                                      "Address of the backend server", false,
                                      "", "ip:port", command);
  TCLAP::ValueArg<std::string> router("", "router", "Address of the router",
                                      false, "", "ip:port", command);
  std::vector<std::string> kinds = {"streams", "short"};
  TCLAP::ValuesConstraint<std::string> kind_values(kinds);
  TCLAP::ValueArg<std::string> kind("", "kind", "Kind of requests", false,
                                    "streams", &kind_values, command);
  TCLAP::ValueArg<std::string> path("", "path", "Path of short requests", false,
                                    defaults.path, "path", command);
  TCLAP::ValueArg<std::string> model("", "model", "Model of the streams", false,
                                     defaults.model, "name", command);
  TCLAP::ValueArg<std::string> key("", "key", "Caller's key at the router",
                                   false, "", "key", command);
  TCLAP::ValueArg<std::string> levels("", "levels",
                                      "Numbers of concurrent requests", false,
                                      "1,32,256", "list", command);
  TCLAP::ValueArg<int> requests("", "requests", "Requests per caller and round",
                                false, defaults.requests, "count", command);
  TCLAP::ValueArg<int> rounds("", "rounds", "Rounds per level", false,
                              defaults.rounds, "count", command);
  TCLAP::ValueArg<int> tokens("", "tokens", "Tokens per stream", false,
                              defaults.tokens, "count", command);
  TCLAP::ValueArg<int> pid("", "pid", "Process id of the router", false, 0,
                           "id", command);
  TCLAP::SwitchArg json("", "json", "Print JSON", command);
  command.parse(argc, argv);

  LoadOptions options;
  options.direct = direct.getValue();
  options.router = router.getValue();
  options.kind =
      kind.getValue() == "streams" ? LoadKind::kStreams : LoadKind::kShortCalls;
  options.path = path.getValue();
  options.model = model.getValue();
  options.key = key.getValue();
  options.levels = ReadLevels(levels.getValue());
  options.requests = requests.getValue();
  options.rounds = rounds.getValue();
  options.tokens = tokens.getValue();
  options.router_pid = pid.getValue();
  options.json = json.getValue();
  return options;
}

// Returns an error message, or an empty string if the options are valid.
std::string ValidateOptions(const LoadOptions& options) {
  if (options.direct.empty() && options.router.empty()) {
    return "specify --direct, --router or both";
  }
  for (const std::string& address : {options.direct, options.router}) {
    if (!address.empty() && !bamboomount::IsLoopback(address)) {
      return "refused: " + address + " is not a loopback address with a port";
    }
  }
  for (const int level : options.levels) {
    if (level < 1 || level > kMaxLevel) {
      return "levels must be from 1 to " + std::to_string(kMaxLevel);
    }
  }
  if (options.requests < 1 || options.requests > kMaxRequests) {
    return "requests must be from 1 to " + std::to_string(kMaxRequests);
  }
  return "";
}

// Raises the limit of open files to the hard limit, since every caller has a
// connection.
void RaiseFileLimit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
  }
}

LevelReport MeasureLevel(const LoadOptions& options, int level) {
  const LoadTarget direct{options.direct, "", 0};
  const LoadTarget router{options.router, options.key, options.router_pid};
  LevelReport report;
  report.level = level;
  for (int round = 0; round < options.rounds; ++round) {
    if (!direct.address.empty()) {
      bamboomount::RunLoad(options, direct, level, report.direct);
    }
    if (!router.address.empty()) {
      bamboomount::RunLoad(options, router, level, report.router);
    }
  }
  return report;
}

}  // namespace

int main(int argc, char** argv) {
  LoadOptions options;
  try {
    options = ReadOptions(argc, argv);
  } catch (const std::logic_error&) {
    std::cerr << "levels must be a comma-separated list of numbers\n";
    return kExitUsage;
  }
  const std::string error = ValidateOptions(options);
  if (!error.empty()) {
    std::cerr << error << "\n";
    return kExitUsage;
  }
  RaiseFileLimit();
  std::vector<LevelReport> reports;
  std::int64_t failures = 0;
  for (const int level : options.levels) {
    reports.push_back(MeasureLevel(options, level));
    failures += reports.back().direct.failures + reports.back().router.failures;
  }
  std::cout << (options.json ? bamboomount::ToJson(reports)
                             : bamboomount::ToText(reports))
            << std::endl;
  return failures == 0 ? 0 : kExitFailures;
}
