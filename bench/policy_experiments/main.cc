#include <tclap/CmdLine.h>

#include <iomanip>
#include <iostream>

#include "capacity_experiment.h"
#include "load_experiment.h"

namespace bamboomount {
namespace {

bool Selected(const std::string& wanted, const std::string& name) {
  return wanted.empty() || wanted == name;
}

void RunScenario(const Deployment& deployment,
                 const Scenario& scenario,
                 const std::string& strategy_name,
                 std::uint64_t seed) {
  std::vector<std::string> classes;
  classes.reserve(deployment.classes.size());
  for (const ClassLoad& load : deployment.classes)
    classes.push_back(load.name);
  std::cout << "\n"
            << deployment.name << ", " << scenario.name << "\n\n"
            << Report::Header(classes) << "\n";
  for (const Strategy& strategy : Strategies()) {
    if (!Selected(strategy_name, strategy.name))
      continue;
    LoadExperiment experiment(deployment, scenario, strategy, seed);
    std::cout << experiment.Run().Row(strategy.name) << std::endl;
  }
}

void RunCapacityExperiment(std::uint64_t seed) {
  std::cout << "| deployment | surplus factor | headroom | cost / cheapest |"
               " short % | protected short % | on cheap % | changes |\n"
               "|---|---|---|---|---|---|---|---|\n";
  for (const Deployment& deployment : Deployments()) {
    for (const double surplus : {1.0, 1.05, 1.15}) {
      for (const double headroom : {1.0, 1.1}) {
        CapacityPlannerOptions options;
        options.firm_cost = deployment.firm_cost_per_hour;
        options.cheap_cost = deployment.cheap_cost_per_hour;
        options.surplus_factor = surplus;
        const CapacityReport report =
            SimulateCapacityDay(deployment, options, headroom, seed);
        std::cout << std::fixed << std::setprecision(2) << "| "
                  << deployment.name << " | " << surplus << " | " << headroom
                  << " | " << report.cost_ratio << " | " << report.short_percent
                  << " | " << report.protected_short_percent << " | "
                  << std::setprecision(1) << report.cheap_percent << " | "
                  << report.changes << " |\n";
      }
    }
  }
}

}  // namespace
}  // namespace bamboomount

int main(int argc, char** argv) {
  TCLAP::CmdLine command("Drives the scheduler of one cell with a load.");
  TCLAP::ValueArg<std::string> deployment("", "deployment", "Only this one.",
                                          false, "", "name", command);
  TCLAP::ValueArg<std::string> scenario("", "scenario", "Only this one.", false,
                                        "", "name", command);
  TCLAP::ValueArg<std::string> strategy("", "strategy", "Only this one.", false,
                                        "", "name", command);
  TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Seed of the load.", false, 1,
                                      "number", command);
  TCLAP::SwitchArg spending("", "spending", "A day of the spending planner.",
                            command);
  command.parse(argc, argv);
  if (spending.getValue()) {
    bamboomount::RunCapacityExperiment(seed.getValue());
    return 0;
  }
  for (const auto& fleet : bamboomount::Deployments()) {
    for (const auto& load : bamboomount::Scenarios()) {
      if (bamboomount::Selected(deployment.getValue(), fleet.name) &&
          bamboomount::Selected(scenario.getValue(), load.name))
        bamboomount::RunScenario(fleet, load, strategy.getValue(),
                                 seed.getValue());
    }
  }
}
