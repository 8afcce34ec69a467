#ifndef DEMO_DEMO_STEPS_H_
#define DEMO_DEMO_STEPS_H_

#include <string>
#include <vector>

#include "support/fleet.h"

namespace bamboomount {

// What a step found. `evidence` is the evidence that is printed.
struct StepResult {
  bool ok = false;
  std::string evidence;
};

struct DemoContext {
  support::Fleet& fleet;
  // Folder of the programs.
  std::string programs;
  // Folder with examples/<name>/service.jsonc.
  std::string examples;
  std::string admin_token;
};

struct DemoStep {
  const char* description;
  StepResult (*run)(DemoContext&);
};

// All steps in order.
const std::vector<DemoStep>& DemoSteps();

}  // namespace bamboomount

#endif  // DEMO_DEMO_STEPS_H_
