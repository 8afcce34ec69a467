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

constexpr Millis kStepInterval{10};
// Time in which a request that was refused could still reach a backend server.
constexpr Millis kLateArrivalWait{500};

struct SoakOptions {
  std::uint64_t seed = 1;
  int seconds = 30;
  int instances = 4;
  int backends = 4;
  int callers = 12;
  InvariantScope scope = InvariantScope::kAll;
  // Where the logs go if a violation is broken; empty for none.
  std::string logs;
};

SoakOptions ParseOptions(int argc, char** argv) {
  TCLAP::CmdLine line("Plays random faults against entry instances", ' ', "1");
  TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Order of the faults", false,
                                      1, "number", line);
  TCLAP::ValueArg<int> seconds("", "seconds", "Length", false, 30, "s", line);
  TCLAP::ValueArg<int> instances("", "instances", "Entry instances", false, 4,
                                 "count", line);
  TCLAP::ValueArg<int> backends("", "backends", "Backend servers at a time",
                                false, 4, "count", line);
  TCLAP::ValueArg<int> callers("", "callers", "Callers", false, 12, "count",
                               line);
  TCLAP::ValueArg<std::string> logs(
      "", "logs", "Folder for the logs if a promise is broken", false, "",
      "folder", line);
  TCLAP::SwitchArg any_speed(
      "", "any-speed", "Check only what holds on a machine of any speed", line);
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
    violations.push_back({"all instances serve again", process});
  observations.requests = callers.Stop();
  std::this_thread::sleep_for(kLateArrivalWait);
  fleet.CollectObservations(observations);
  observations.faults = injector.faults();
  observations.shutdowns = injector.shutdowns();
  for (const std::string& process : injector.crashes())
    violations.push_back({"processes do not end by themselves", process});
  return violations;
}

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
            << observations.shutdowns.size() << " stops, "
            << observations.withdrawals.size() << " keys withdrawn, "
            << observations.usage.size() << " usage reports, "
            << violations.size() << " broken promises\n";
  for (const InvariantViolation& violation : violations)
    std::cout << "  " << violation.invariant << ": " << violation.detail
              << "\n";
  if (!violations.empty() && !options.logs.empty())
    fleet.WriteLogs(options.logs);
  if (served == 0) {
    std::cout << "  nothing was served\n";
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
