#ifndef DEMO_DEMO_STEPS_H_
#define DEMO_DEMO_STEPS_H_

#include <string>
#include <vector>

#include "support/fleet.h"

namespace bamboomount {

// Outcome of a step.
struct StepResult {
  bool ok = false;
  // What was observed; printed below the step.
  std::string evidence;
};

// Passed to every step.
struct DemoContext {
  support::Fleet& fleet;
  // Folder with the programs of the build.
  std::string programs;
  // Folder with one <name>/service.jsonc per example.
  std::string examples;
  std::string admin_token;
};

// One check of the demonstration. `run` may throw, which fails the step.
struct DemoStep {
  const char* description;
  StepResult (*run)(DemoContext&);
};

// Returns all steps in the order in which they run.
const std::vector<DemoStep>& DemoSteps();

}  // namespace bamboomount

#endif  // DEMO_DEMO_STEPS_H_
