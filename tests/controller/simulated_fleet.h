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

// The random choices of one test case. Once the sequence is exhausted, every
// choice is 0, which stands for "no pause, no fault", so that a shrunk case has
// fewer pauses and faults.
class ChoiceSequence {
 public:
  explicit ChoiceSequence(std::vector<std::uint8_t> choices)
      : choices_(std::move(choices)) {}

  bool exhausted() const { return next_ >= choices_.size(); }
  // Returns the next choice, a number from 0 to `bound` - 1.
  int Draw(int bound) { return exhausted() ? 0 : choices_[next_++] % bound; }

 private:
  std::vector<std::uint8_t> choices_;
  std::size_t next_ = 0;
};

// Simulates the controllers and routers of a fleet in one thread, with a table
// store that injects faults and a simulated clock. A caller can be paused at
// every call to the store, the platform or the clock: time passes and other
// processes run before it continues. If the guard deadline of a controller
// passes during its pause, the controller is ended at this point, as by the
// kernel timer, and restarted.
class SimulatedFleet {
 public:
  // With `restores`, the store also comes back from older copies. What the
  // table holds is then not compared with what the platform received.
  SimulatedFleet(std::vector<std::uint8_t> choices,
                 int controllers,
                 int routers,
                 bool restores = false);
  ~SimulatedFleet();

  // Runs until the choices are exhausted, then without pauses and faults for
  // long enough that all recorded usage can be reported.
  void Run();

  // Steps all controllers once per simulated second, first with the pauses in
  // `plan` and then without. The first controller acquires the lease and is the
  // only one that is paused; the others continue meanwhile. `plan` maps the
  // number of a pause point, counted from 1, to the duration of the pause.
  // Returns the number of pause points reached. Must be called on a fleet
  // without choices.
  int RunWithPauses(std::map<int, std::chrono::seconds> plan);

  // Descriptions of the invariants that were violated.
  const std::set<std::string>& violations() const { return violations_; }
  int order_count() const { return static_cast<int>(received_orders_.size()); }
  const CustomerUsage& recorded_usage() const { return recorded_usage_; }
  // Sum of the totals that the platform received, counting each window once.
  CustomerUsage ReportedUsage() const;

 private:
  friend class SimulatedController;
  friend class SimulatedStore;
  friend class SimulatedPlatform;
  class Router;

  void RunRandomStep();
  void SaveOrRestoreAtRandom();
  // Pauses the caller if the next random choice requires it.
  void PauseAtRandom();
  void PauseIfPlanned();
  std::vector<JournalEntry> JournalEntries();
  // Checks that the journal has exactly those orders as accepted that the
  // platform received.
  void CheckJournalMatchesPlatform();
  // Checks that no token is lower than an earlier one, nor used by two senders.
  void CheckToken(FencingToken token,
                  const class Pausable& sender,
                  const std::string& message);
  void CheckOrderIsRecorded(const BackendOrder& order);
  void ReceiveOrder(const BackendOrder& order, const Pausable& sender);
  void ReceiveReport(const UsageReport& report, const Pausable& sender);

  ChoiceSequence choices_;
  const bool restores_;
  std::chrono::nanoseconds now_;
  std::chrono::nanoseconds commits_delayed_since_{0};
  // Number of nested pauses around the current call.
  std::size_t pause_depth_ = 0;
  std::map<int, std::chrono::seconds> pause_plan_;
  int pause_point_count_ = 0;
  InMemoryTableStore store_;
  std::vector<std::unique_ptr<class SimulatedController>> controllers_;
  std::vector<std::unique_ptr<Router>> routers_;
  std::set<std::string> violations_;
  FencingToken highest_token_;
  std::map<FencingToken, const Pausable*> token_senders_;
  std::map<std::string, BackendOrder> received_orders_;
  std::map<std::pair<UsageWindow, CustomerId>, UsageTotals> received_reports_;
  CustomerUsage recorded_usage_;
};

}  // namespace bamboomount

#endif  // CONTROLLER_SIMULATED_FLEET_H_
