#ifndef POLICY_EXPERIMENTS_REPORT_H_
#define POLICY_EXPERIMENTS_REPORT_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace bamboomount {

// Results of one run.
struct Report {
  struct Tally {
    int requests = 0;
    // Requests with the first token within the class's target and a complete
    // response.
    int attained = 0;
    // Percentage of requests that attained their target; 100 without requests.
    double percent() const;
  };
  std::vector<Tally> by_class;
  std::map<std::pair<int, int>, Tally> by_customer_and_class;
  // Excluded from the worst customer's values; -1 for none.
  int flooding_customer = -1;
  // Requests of tier 0 during its burst.
  Tally burst;
  // Requests of tier 2 during the burst of tier 0.
  Tally tier2_in_burst;

  // Output tokens of requests that attained their target.
  double good_tokens = 0;
  // Slot time of attempts that ended without a complete response.
  double wasted_seconds = 0;
  // Slot time of all attempts, and its part on cheap engines.
  double busy_seconds = 0;
  double cheap_seconds = 0;
  // Duration of the load.
  double seconds = 0;
  double cost_per_hour = 0;
  int refused = 0;

  // Lowest attainment of any customer in any class, and the largest gap of a
  // customer to its class in percentage points.
  double worst_customer_percent() const;
  double worst_customer_gap() const;

  // Header and row of a Markdown table.
  static std::string Header(const std::vector<std::string>& classes);
  std::string Row(const std::string& strategy) const;
};

}  // namespace bamboomount

#endif  // POLICY_EXPERIMENTS_REPORT_H_
