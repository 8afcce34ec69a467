#ifndef POLICY_EXPERIMENTS_DEPLOYMENT_H_
#define POLICY_EXPERIMENTS_DEPLOYMENT_H_

#include <string>
#include <vector>

#include "policy/policy.h"

namespace bamboomount {

struct ClassLoad {
  std::string name;
  int tier = 0;
  Millis first_token_target{0};
  int queue_limit = 0;
  double requests_per_second = 0;
  double mean_prompt_tokens = 0;
  double mean_output_tokens = 0;
};

// One pool of engines with the load of an ordinary hour.
struct Deployment {
  std::string name;
  std::vector<CellBackend> engines;
  std::vector<ClassLoad> classes;
  // Shares of the customers; each sends in proportion.
  std::vector<double> shares;
  double firm_cost_per_hour = 4;
  double cheap_cost_per_hour = 1.5;
};

std::vector<Deployment> Deployments();

}  // namespace bamboomount

#endif  // POLICY_EXPERIMENTS_DEPLOYMENT_H_
