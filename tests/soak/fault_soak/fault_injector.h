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

// Harms the fleet from outside, in an order that follows from the seed.
//
// Faults come in series and overlap. Phases in which anything may happen take
// turns with phases of planned work alone, in which nothing may be cut. Step is
// called over and over; it starts what is due and ends what is over.
class FaultInjector {
 public:
  FaultInjector(SoakFleet& fleet, std::uint64_t seed);

  void Step();
  // Ends all faults and starts all instances.
  void RestoreFleet();

  // Unplanned faults, planned stops, and processes that ended by themselves.
  const std::vector<FaultSpan>& faults() const { return faults_; }
  const std::vector<GracefulShutdown>& shutdowns() const { return shutdowns_; }
  const std::vector<std::string>& crashes() const { return crashes_; }

 private:
  using Inject = void (FaultInjector::*)();
  struct FaultKind {
    std::string_view name;
    Inject inject;
  };
  // What ends a fault, and when.
  struct ScheduledEnd {
    Time due;
    std::function<void()> end;
    // Index into `faults_`, or kNoFaultIndex.
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

  void StartFault();
  // The fault that is being injected ends after `duration`.
  void ScheduleEnd(Millis duration, std::function<void()> end);
  void KillProcess(InstanceSlot& slot);
  void ScheduleRestart(InstanceSlot& slot, Millis pause);
  void CheckProcesses();
  void FinishShutdown(InstanceSlot& slot);
  SoakBackend& PickListedBackend();
  Millis ShortDuration() { return random_.Between(50, 1500); }
  // Some outlast the time in which a withdrawn key stops working.
  Millis LongDuration() {
    return random_.Chance(30) ? random_.Between(6000, 11000)
                              : random_.Between(300, 4000);
  }

  SoakFleet& fleet_;
  Random random_;
  Time next_fault_;
  Time phase_end_;
  bool planned_only_ = false;
  std::size_t current_fault_ = kNoFaultIndex;
  std::vector<ScheduledEnd> scheduled_ends_;
  std::vector<FaultSpan> faults_;
  std::vector<GracefulShutdown> shutdowns_;
  std::vector<std::string> crashes_;
};

}  // namespace bamboomount::soak

#endif  // TESTS_SOAK_FAULT_SOAK_FAULT_INJECTOR_H_
