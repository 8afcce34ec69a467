#ifndef POLICY_EXPERIMENTS_REPORT_H_
#define POLICY_EXPERIMENTS_REPORT_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace bamboomount {

// Counts of one run.
struct Report {
  struct Tally {
    int requests = 0;
    // First token within the class's target, and the answer complete.
    int attained = 0;
    double percent() const;
  };
  std::vector<Tally> by_class;
  std::map<std::pair<int, int>, Tally> by_customer_and_class;
  // Not counted for the worst-served customer; -1 for none.
  int flooding_customer = -1;
  // Requests of tier 0 while it bursts.
  Tally burst;
  // Tier 2 while tier 0 bursts.
  Tally tier2_in_burst;

  double good_tokens = 0;
  // Slot time of requests that ended without a complete answer.
  double wasted_seconds = 0;
  double busy_seconds = 0;
  double cheap_seconds = 0;
  double seconds = 0;
  double cost_per_hour = 0;
  int refused = 0;

  // The lowest attainment of a customer in a class, and how many points it is
  // below that class.
  double worst_customer_percent() const;
  double worst_customer_gap() const;

  static std::string Header(const std::vector<std::string>& classes);
  std::string Row(const std::string& strategy) const;
};

}  // namespace bamboomount

#endif  // POLICY_EXPERIMENTS_REPORT_H_
