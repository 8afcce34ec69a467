#ifndef TESTS_SOAK_FAULT_SOAK_FAULT_INJECTOR_H_
#define TESTS_SOAK_FAULT_SOAK_FAULT_INJECTOR_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "soak/fault_soak/random.h"
#include "soak/fault_soak/soak_fleet.h"

namespace bamboomount::soak {

// Injects faults into the fleet from outside its processes. A generator with
// the given seed chooses them; their order also depends on the timing and state
// of the processes, because some choices are made only for a running instance.
//
// Faults may overlap. Phases with faults of any kind and phases of planned
// operations alone follow each other at random; the latter must not interrupt
// any request. The owner calls Step repeatedly; it starts the faults that are
// due and ends those that have lasted their time. Not thread-safe.
class FaultInjector {
 public:
  // `fleet` must outlive this object.
  FaultInjector(SoakFleet& fleet, std::uint64_t seed);

  // Ends faults whose time is over, handles ended processes, and starts at most
  // one fault.
  void Step();
  // Ends all faults, waits for shutdowns in progress, and starts all instances
  // that do not run.
  void RestoreFleet();

  // Unplanned faults, in order of their start.
  const std::vector<FaultSpan>& faults() const { return faults_; }
  // Graceful shutdowns that have ended.
  const std::vector<GracefulShutdown>& shutdowns() const { return shutdowns_; }
  // Processes that exited although nothing had told them to.
  const std::vector<std::string>& crashes() const { return crashes_; }

 private:
  using Inject = void (FaultInjector::*)();
  struct FaultKind {
    std::string_view name;
    Inject inject;
  };
  // An action that ends a fault or restarts a process, and when it is due.
  struct ScheduledEnd {
    Time due;
    std::function<void()> end;
    // Index into `faults_`, or kNoFaultIndex for planned operations.
    std::size_t fault;
  };
  static constexpr std::size_t kNoFaultIndex = static_cast<std::size_t>(-1);

  static const std::vector<FaultKind>& UnplannedFaults();
  static const std::vector<FaultKind>& PlannedOperations();

  void PauseInstance();
  void KillInstance();
  void KillAllInstances();
  void CutStoreLink();
  void DelayStoreLink();
  void ResetStoreLink();
  void MakeStoreUnavailable();
  void WithdrawKeyDuringStoreOutage();
  void DropCommitResponses();
  void DiscardStoreHistory();
  void DegradeBackendLink();
  void MakeBackendMisbehave();
  void ShutDownInstance();
  void ReloadInstance();
  void ChangeConfig();
  void RetireBackend();

  // Starts one fault or planned operation, chosen at random.
  void StartFault();
  // Runs `end` after `duration`; the fault that is being injected ends then.
  void ScheduleEnd(Millis duration, std::function<void()> end);
  // Kills the process in `slot` with SIGKILL and empties the slot.
  void KillProcess(InstanceSlot& slot);
  // Starts a process in `slot` after `pause`, unless one runs there by then.
  void ScheduleRestart(InstanceSlot& slot, Millis pause);
  // Finishes shutdowns, and records and restarts processes that crashed.
  void CheckProcesses();
  // Records the shutdown and schedules a restart once the process has ended;
  // kills it when the grace period is over.
  void FinishShutdown(InstanceSlot& slot);
  // Picks a backend server that has not been retired.
  SoakBackend& PickListedBackend();
  Millis ShortDuration() { return random_.Between(50, 1500); }
  // In 30 % of the cases longer than the 5000 ms within which a withdrawn key
  // must stop working.
  Millis LongDuration() {
    return random_.Chance(30) ? random_.Between(6000, 11000)
                              : random_.Between(300, 4000);
  }

  SoakFleet& fleet_;
  Random random_;
  Time next_fault_;
  Time phase_end_;
  bool planned_only_ = false;
  // The unplanned fault that is being injected, as an index into `faults_`.
  std::size_t current_fault_ = kNoFaultIndex;
  std::vector<ScheduledEnd> scheduled_ends_;
  std::vector<FaultSpan> faults_;
  std::vector<GracefulShutdown> shutdowns_;
  std::vector<std::string> crashes_;
};

}  // namespace bamboomount::soak

#endif  // TESTS_SOAK_FAULT_SOAK_FAULT_INJECTOR_H_
