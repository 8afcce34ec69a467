#include <tclap/CmdLine.h>

#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <thread>

#include "soak/checks/invariants.h"
#include "soak/fault_soak/callers.h"
#include "soak/fault_soak/fault_injector.h"
#include "soak/fault_soak/soak_fleet.h"

namespace bamboomount::soak {
namespace {

// Time between two steps of the fault injector.
constexpr Millis kStepInterval{10};
// Wait after the last request, so that a request that ran in spite of its
// refusal is still seen to arrive at a backend server.
constexpr Millis kLateArrivalWait{500};

struct SoakOptions {
  std::uint64_t seed = 1;
  // How long faults are injected.
  int seconds = 30;
  int instances = 4;
  int backends = 4;
  int callers = 12;
  InvariantScope scope = InvariantScope::kAll;
  // Folder for the logs if an invariant is violated; empty for none.
  std::string logs;
};

SoakOptions ParseOptions(int argc, char** argv) {
  TCLAP::CmdLine line("Injects random faults into entry instances", ' ', "1");
  TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Seed of the random faults",
                                      false, 1, "number", line);
  TCLAP::ValueArg<int> seconds("", "seconds", "Length", false, 30, "s", line);
  TCLAP::ValueArg<int> instances("", "instances", "Entry instances", false, 4,
                                 "count", line);
  TCLAP::ValueArg<int> backends("", "backends", "Backend servers at a time",
                                false, 4, "count", line);
  TCLAP::ValueArg<int> callers("", "callers", "Callers", false, 12, "count",
                               line);
  TCLAP::ValueArg<std::string> logs(
      "", "logs", "Folder for the logs if an invariant is violated", false, "",
      "folder", line);
  TCLAP::SwitchArg any_speed(
      "", "any-speed",
      "Check only invariants that hold at any speed of the machine", line);
  line.parse(argc, argv);
  return {seed.getValue(),
          seconds.getValue(),
          instances.getValue(),
          backends.getValue(),
          callers.getValue(),
          any_speed.getValue() ? InvariantScope::kTimingIndependent
                               : InvariantScope::kAll,
          logs.getValue()};
}

// Injects faults while callers send requests, then restores the fleet and fills
// `observations`. Returns violations that show without them: instances that did
// not recover and processes that crashed.
std::vector<InvariantViolation> RunFaultSchedule(const SoakOptions& options,
                                                 SoakFleet& fleet,
                                                 Observations& observations) {
  std::vector<InvariantViolation> violations;
  FaultInjector injector(fleet, options.seed);
  Callers callers(fleet, options.callers, options.seed);
  const Time end =
      std::chrono::steady_clock::now() + std::chrono::seconds(options.seconds);
  while (std::chrono::steady_clock::now() < end) {
    injector.Step();
    std::this_thread::sleep_for(kStepInterval);
  }
  injector.RestoreFleet();
  for (const std::string& process : fleet.AwaitRecovery())
    violations.push_back({"all instances recover", process});
  observations.requests = callers.Stop();
  std::this_thread::sleep_for(kLateArrivalWait);
  fleet.CollectObservations(observations);
  observations.faults = injector.faults();
  observations.shutdowns = injector.shutdowns();
  for (const std::string& process : injector.crashes())
    violations.push_back({"processes do not exit unexpectedly", process});
  return violations;
}

// Runs one soak, prints the result and returns the exit status. A soak in which
// no request was served fails, because it checked nothing.
int Run(const SoakOptions& options) {
  SoakFleet fleet(options.instances, options.backends);
  Observations observations;
  std::vector<InvariantViolation> violations =
      RunFaultSchedule(options, fleet, observations);
  for (InvariantViolation& violation :
       FindInvariantViolations(observations, InvariantBounds{}, options.scope))
    violations.push_back(std::move(violation));
  std::size_t served = 0;
  for (const RequestRecord& request : observations.requests)
    served += request.status == 200 && request.complete ? 1 : 0;
  std::cout << "seed " << options.seed << ": " << observations.requests.size()
            << " requests, " << served << " served, "
            << observations.faults.size() << " faults, "
            << observations.shutdowns.size() << " graceful shutdowns, "
            << observations.withdrawals.size() << " keys withdrawn, "
            << observations.usage.size() << " usage reports, "
            << violations.size() << " invariant violations\n";
  for (const InvariantViolation& violation : violations)
    std::cout << "  " << violation.invariant << ": " << violation.detail
              << "\n";
  if (!violations.empty() && !options.logs.empty())
    fleet.WriteLogs(options.logs);
  if (served == 0) {
    std::cout << "  no request was served\n";
    return EXIT_FAILURE;
  }
  return violations.empty() ? EXIT_SUCCESS : EXIT_FAILURE;
}

}  // namespace
}  // namespace bamboomount::soak

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return bamboomount::soak::Run(bamboomount::soak::ParseOptions(argc, argv));
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return EXIT_FAILURE;
  }
}
