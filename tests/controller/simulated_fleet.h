#ifndef CONTROLLER_SIMULATED_FLEET_H_
#define CONTROLLER_SIMULATED_FLEET_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "controller/controller.h"

namespace bamboomount {

// Decisions of one test case, drawn one after the other. After the last one
// every decision is 0, which stands for "no pause, no fault", so that
// shrinking a case makes it calmer.
class ChoiceSequence {
 public:
  explicit ChoiceSequence(std::vector<std::uint8_t> choices)
      : choices_(std::move(choices)) {}

  bool exhausted() const { return next_ >= choices_.size(); }
  // A number below `bound`.
  int Draw(int bound) { return exhausted() ? 0 : choices_[next_++] % bound; }

 private:
  std::vector<std::uint8_t> choices_;
  std::size_t next_ = 0;
};

// Controllers and routers of one fleet over a table store with faults, in one
// thread and with a simulated clock. At every call to the store, the platform
// or the clock, the caller may be paused: time passes and others run before
// it goes on. A controller whose guard deadline passes during a pause is
// killed there, as the kernel timer does it, and restarted.
class SimulatedFleet {
 public:
  SimulatedFleet(std::vector<std::uint8_t> choices,
                 int controllers,
                 int routers);
  ~SimulatedFleet();

  // Runs until the choices is used up, then without pauses and faults until all
  // that was counted has had time to be reported.
  void Run();

  // Lets the first controller take the lease and work for some seconds, then
  // all for longer. Each time it reaches one of the numbered points, counted
  // from 1, it is paused for that time while the others go on. Returns the
  // number of points. For a fleet with an empty choices.
  int RunWithPauses(std::map<int, std::chrono::seconds> plan);

  // Rules that were broken, empty if none.
  const std::set<std::string>& violations() const { return violations_; }
  int order_count() const { return static_cast<int>(received_orders_.size()); }
  const CustomerUsage& recorded_usage() const { return recorded_usage_; }
  // Sum of the totals that the platform has, each window once.
  CustomerUsage ReportedUsage() const;

 private:
  friend class SimulatedController;
  friend class SimulatedStore;
  friend class SimulatedPlatform;
  class Router;

  void RunRandomStep();
  // Lets time pass and others run; see above.
  void PauseAtRandom();
  void PauseIfPlanned();
  std::vector<JournalEntry> JournalEntries();
  // Checks that the journal says of each order what the platform says.
  void CheckJournalMatchesPlatform();
  void ReceiveOrder(const BackendOrder& order);
  void ReceiveReport(const UsageReport& report);

  ChoiceSequence choices_;
  std::chrono::nanoseconds now_;
  std::chrono::nanoseconds commits_delayed_since_{0};
  // Pauses that the present call is inside of.
  std::size_t pause_depth_ = 0;
  std::map<int, std::chrono::seconds> pause_plan_;
  int pause_point_count_ = 0;
  InMemoryTableStore store_;
  std::vector<std::unique_ptr<class SimulatedController>> controllers_;
  std::vector<std::unique_ptr<Router>> routers_;
  std::set<std::string> violations_;
  FencingToken highest_token_;
  std::map<std::string, BackendOrder> received_orders_;
  std::map<std::pair<UsageWindow, CustomerId>, UsageTotals> received_reports_;
  CustomerUsage recorded_usage_;
};

}  // namespace bamboomount

#endif  // CONTROLLER_SIMULATED_FLEET_H_
