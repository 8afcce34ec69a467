#include "soak/fault_soak/fault_injector.h"

#include <sys/wait.h>

#include <algorithm>
#include <csignal>
#include <utility>

namespace bamboomount::soak {
namespace {

using entry_test::BackendMode;
using entry_test::StoreMode;
using support::LinkMode;

// Time between SIGTERM and SIGKILL, the same as on the users' platform.
constexpr Millis kShutdownGracePeriod{8000};
// Faults that may be active at once, pending restarts included. No further
// fault is started at this number.
constexpr std::size_t kMaxConcurrentFaults = 8;

Time Now() {
  return std::chrono::steady_clock::now();
}

}  // namespace

const std::vector<FaultInjector::FaultKind>& FaultInjector::UnplannedFaults() {
  static const std::vector<FaultKind> kinds{
      {"process paused", &FaultInjector::PauseInstance},
      {"process killed", &FaultInjector::KillInstance},
      {"all processes killed", &FaultInjector::KillAllInstances},
      {"link to the store cut", &FaultInjector::CutStoreLink},
      {"link to the store slow", &FaultInjector::DelayStoreLink},
      {"link to the store reset", &FaultInjector::ResetStoreLink},
      {"store unavailable", &FaultInjector::MakeStoreUnavailable},
      {"key withdrawn during a store outage",
       &FaultInjector::WithdrawKeyDuringStoreOutage},
      {"commit responses of the store lost",
       &FaultInjector::DropCommitResponses},
      {"change history of the store lost", &FaultInjector::DiscardStoreHistory},
      {"link to a backend server degraded", &FaultInjector::DegradeBackendLink},
      // Listed twice, which doubles its probability.
      {"backend server misbehaves", &FaultInjector::MakeBackendMisbehave},
      {"backend server misbehaves", &FaultInjector::MakeBackendMisbehave},
  };
  return kinds;
}

const std::vector<FaultInjector::FaultKind>&
FaultInjector::PlannedOperations() {
  static const std::vector<FaultKind> kinds{
      {"process shut down", &FaultInjector::ShutDownInstance},
      {"settings reloaded", &FaultInjector::ReloadInstance},
      {"configuration changed", &FaultInjector::ChangeConfig},
      {"backend server retired", &FaultInjector::RetireBackend},
  };
  return kinds;
}

FaultInjector::FaultInjector(SoakFleet& fleet, std::uint64_t seed)
    : fleet_(fleet), random_(seed), next_fault_(Now()), phase_end_(Now()) {}

void FaultInjector::Step() {
  const Time now = Now();
  for (std::size_t i = 0; i < scheduled_ends_.size();) {
    if (scheduled_ends_[i].due > now) {
      ++i;
      continue;
    }
    const ScheduledEnd ended = std::move(scheduled_ends_[i]);
    scheduled_ends_.erase(scheduled_ends_.begin() +
                          static_cast<std::ptrdiff_t>(i));
    ended.end();
    if (ended.fault != kNoFaultIndex)
      faults_[ended.fault].until = Now();
  }
  CheckProcesses();
  if (now >= phase_end_) {
    planned_only_ = random_.Chance(40);
    phase_end_ = now + random_.Between(5000, 12000);
  }
  if (now < next_fault_ || scheduled_ends_.size() >= kMaxConcurrentFaults)
    return;
  StartFault();
  next_fault_ = now + random_.Between(20, 500);
}

void FaultInjector::StartFault() {
  const bool planned = planned_only_ || random_.Chance(35);
  const FaultKind& kind =
      random_.Pick(planned ? PlannedOperations() : UnplannedFaults());
  current_fault_ = kNoFaultIndex;
  if (!planned) {
    current_fault_ = faults_.size();
    faults_.push_back({std::string(kind.name), Now(), Time::max()});
  }
  const std::size_t previously_scheduled = scheduled_ends_.size();
  (this->*kind.inject)();
  // The fault scheduled no end: it was over at once.
  if (!planned && scheduled_ends_.size() == previously_scheduled)
    faults_[current_fault_].until = Now();
}

void FaultInjector::RestoreFleet() {
  while (!scheduled_ends_.empty()) {
    for (ScheduledEnd& scheduled_end : scheduled_ends_)
      scheduled_end.due = Now();
    next_fault_ = Time::max();
    Step();
  }
  for (InstanceSlot& slot : fleet_.slots()) {
    if (slot.instance && slot.shutdown_requested_at) {
      while (slot.instance)
        CheckProcesses();
    }
    if (!slot.instance)
      fleet_.StartInstance(slot);
  }
  scheduled_ends_.clear();
}

void FaultInjector::ScheduleEnd(Millis duration, std::function<void()> end) {
  scheduled_ends_.push_back({Now() + duration, std::move(end), current_fault_});
}

void FaultInjector::PauseInstance() {
  InstanceSlot& slot = fleet_.slots()[random_.Below(fleet_.slots().size())];
  if (!slot.instance)
    return;
  const std::shared_ptr<entry_test::EntryInstance> paused = slot.instance;
  paused->process().Stop();
  ScheduleEnd(LongDuration(), [paused] { paused->process().Continue(); });
}

void FaultInjector::KillInstance() {
  InstanceSlot& slot = fleet_.slots()[random_.Below(fleet_.slots().size())];
  if (!slot.instance)
    return;
  KillProcess(slot);
  ScheduleRestart(slot, ShortDuration());
}

void FaultInjector::KillAllInstances() {
  if (!random_.Chance(30))
    return;
  for (InstanceSlot& slot : fleet_.slots()) {
    if (!slot.instance)
      continue;
    KillProcess(slot);
    ScheduleRestart(slot, ShortDuration());
  }
}

void FaultInjector::CutStoreLink() {
  support::TcpProxy& link =
      *fleet_.slots()[random_.Below(fleet_.slots().size())].store_link;
  link.SetMode(
      random_.Pick<LinkMode>({LinkMode::kDropBothDirections,
                              LinkMode::kDropFromTarget, LinkMode::kReset}));
  ScheduleEnd(LongDuration(), [&link] {
    link.SetMode(LinkMode::kForward);
    // The cut may have discarded bytes. A reset keeps later bytes of the same
    // connection from following the gap.
    link.ResetConnections();
  });
}

void FaultInjector::DelayStoreLink() {
  support::TcpProxy& link =
      *fleet_.slots()[random_.Below(fleet_.slots().size())].store_link;
  link.SetDelay(random_.Between(20, 400));
  ScheduleEnd(LongDuration(), [&link] { link.SetDelay(Millis(0)); });
}

void FaultInjector::ResetStoreLink() {
  fleet_.slots()[random_.Below(fleet_.slots().size())]
      .store_link->ResetConnections();
}

void FaultInjector::MakeStoreUnavailable() {
  fleet_.store().SetMode(random_.Pick<StoreMode>(
      {StoreMode::kRefusing, StoreMode::kClosing, StoreMode::kSilent}));
  ScheduleEnd(LongDuration(),
              [this] { fleet_.store().SetMode(StoreMode::kUp); });
}

// The key is withdrawn while no instance can reach the store. The outage lasts
// longer than a withdrawn key may be accepted, unless the end of an overlapping
// store fault ends it early. An instance that kept accepting keys by an old
// configuration would violate that limit.
void FaultInjector::WithdrawKeyDuringStoreOutage() {
  fleet_.store().SetMode(random_.Pick<StoreMode>(
      {StoreMode::kRefusing, StoreMode::kClosing, StoreMode::kSilent}));
  fleet_.ChangeConfig(true);
  ScheduleEnd(random_.Between(6000, 9000),
              [this] { fleet_.store().SetMode(StoreMode::kUp); });
}

void FaultInjector::DropCommitResponses() {
  fleet_.store().LoseCommitResponses(1 + static_cast<int>(random_.Below(5)));
}

void FaultInjector::DiscardStoreHistory() {
  fleet_.store().DiscardHistory();
}

void FaultInjector::DegradeBackendLink() {
  support::TcpProxy& link = *PickListedBackend().link;
  if (random_.Chance(30))
    link.SetDelay(random_.Between(20, 500));
  else
    link.SetMode(
        random_.Pick<LinkMode>({LinkMode::kDropBothDirections,
                                LinkMode::kDropFromTarget, LinkMode::kReset}));
  ScheduleEnd(ShortDuration(), [&link] {
    link.SetDelay(Millis(0));
    link.SetMode(LinkMode::kForward);
    link.ResetConnections();
  });
}

void FaultInjector::MakeBackendMisbehave() {
  entry_test::BackendStandin& backend = *PickListedBackend().standin;
  backend.SetMode(random_.Pick<BackendMode>(
      {BackendMode::kRefuse, BackendMode::kMismatchedReplyFirst,
       BackendMode::kTruncate, BackendMode::kLoseReply, BackendMode::kUnsealed,
       BackendMode::kHold, BackendMode::kCutInEvent,
       BackendMode::kWrongServer}));
  ScheduleEnd(ShortDuration(),
              [&backend] { backend.SetMode(BackendMode::kAnswer); });
}

void FaultInjector::ShutDownInstance() {
  InstanceSlot& slot = fleet_.slots()[random_.Below(fleet_.slots().size())];
  if (!slot.instance || slot.shutdown_requested_at)
    return;
  slot.shutdown_requested_at = Now();
  slot.instance->process().Signal(SIGTERM);
}

void FaultInjector::ReloadInstance() {
  InstanceSlot& slot = fleet_.slots()[random_.Below(fleet_.slots().size())];
  if (slot.instance)
    slot.instance->process().Signal(SIGHUP);
}

void FaultInjector::ChangeConfig() {
  const std::size_t changes = 1 + random_.Below(3);
  for (std::size_t i = 0; i < changes; ++i)
    fleet_.ChangeConfig(random_.Chance(50));
}

void FaultInjector::RetireBackend() {
  fleet_.AddBackend();
  fleet_.RetireBackend(PickListedBackend(), random_.Chance(60));
}

SoakBackend& FaultInjector::PickListedBackend() {
  std::vector<SoakBackend*> listed;
  for (SoakBackend& backend : fleet_.backends()) {
    if (backend.listed)
      listed.push_back(&backend);
  }
  return *listed[random_.Below(listed.size())];
}

void FaultInjector::KillProcess(InstanceSlot& slot) {
  slot.instance->process().Signal(SIGKILL);
  slot.instance->process().Wait();
  fleet_.RemoveInstance(slot);
}

void FaultInjector::ScheduleRestart(InstanceSlot& slot, Millis pause) {
  ScheduleEnd(pause, [this, &slot] {
    if (!slot.instance)
      fleet_.StartInstance(slot);
  });
}

void FaultInjector::CheckProcesses() {
  for (InstanceSlot& slot : fleet_.slots()) {
    if (!slot.instance)
      continue;
    if (slot.shutdown_requested_at) {
      FinishShutdown(slot);
      continue;
    }
    if (slot.instance->process().running())
      continue;
    crashes_.push_back(slot.process());
    fleet_.RemoveInstance(slot);
    fleet_.StartInstance(slot);
  }
}

void FaultInjector::FinishShutdown(InstanceSlot& slot) {
  const Time requested_at = *slot.shutdown_requested_at;
  support::ChildProcess& process = slot.instance->process();
  const bool late = Now() - requested_at > kShutdownGracePeriod;
  if (process.running() && !late)
    return;
  if (late)
    process.Signal(SIGKILL);
  const int status = process.Wait();
  const bool clean = WIFEXITED(status) && WEXITSTATUS(status) == 0;
  shutdowns_.push_back({slot.process(), requested_at, Now(), !clean});
  fleet_.RemoveInstance(slot);
  current_fault_ = kNoFaultIndex;
  ScheduleRestart(slot, ShortDuration());
}

}  // namespace bamboomount::soak
