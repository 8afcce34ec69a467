#include <tclap/CmdLine.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <optional>

#include "demo_steps.h"

namespace {

using namespace bamboomount;

support::FleetOptions Options(const std::string& programs) {
  support::FleetOptions options;
  options.programs = programs;
  options.engines = 2;
  options.services = 2;
  options.instances = 3;
  options.controllers = true;
  options.slots = 16;
  options.engine_arguments = {"--pace", "50"};
  return options;
}

// Runs all steps, prints their results and returns the number that failed.
int RunSteps(DemoContext& context) {
  int number = 0;
  int failures = 0;
  for (const DemoStep& step : DemoSteps()) {
    StepResult result;
    try {
      result = step.run(context);
    } catch (const std::exception& error) {
      result.evidence = error.what();
    }
    failures += result.ok ? 0 : 1;
    std::cout << (result.ok ? "ok   " : "FAIL ") << ++number << " "
              << step.description << "\n       " << result.evidence
              << std::endl;
  }
  return failures;
}

int RunDemo(const std::string& programs, const std::string& examples) {
  const support::FleetOptions options = Options(programs);
  // The command reads the token from the environment, because process lists
  // show command line arguments.
  setenv("BAMBOOMOUNT_ADMIN_TOKEN", options.admin_token.c_str(), 1);
  std::vector<int> pids;
  int failures = 0;
  {
    support::Fleet fleet(options);
    std::cout << "started the platform, " << options.engines << " engines, "
              << options.services << " services and " << options.instances
              << " instances" << std::endl;
    DemoContext context{fleet, programs, examples, options.admin_token};
    failures = RunSteps(context);
    pids = fleet.RunningProcesses();
  }
  int remaining = 0;
  for (const int pid : pids)
    remaining += kill(pid, 0) == 0 ? 1 : 0;
  std::cout << (remaining == 0 ? "ok   " : "FAIL ") << "stopped " << pids.size()
            << " processes, " << remaining << " still running" << std::endl;
  return failures + remaining;
}

}  // namespace

int main(int argc, char** argv) {
  TCLAP::CmdLine command("Demonstrates the complete system on this machine.");
  TCLAP::ValueArg<std::string> build("", "build", "Folder with the programs",
                                     true, "", "folder", command);
  TCLAP::ValueArg<std::string> examples(
      "", "examples", "Folder with the example configurations", true, "",
      "folder", command);
  command.parse(argc, argv);
  try {
    return RunDemo(build.getValue(), examples.getValue()) == 0 ? EXIT_SUCCESS
                                                               : EXIT_FAILURE;
  } catch (const std::exception& error) {
    std::cerr << "FAIL " << error.what() << "\n";
    return EXIT_FAILURE;
  }
}
