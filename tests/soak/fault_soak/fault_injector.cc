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

// Time that a process has after SIGTERM before it is killed, as on the users'
// platform.
constexpr Millis kGrace{8000};
constexpr std::size_t kMostFaultsAtOnce = 8;

Time Now() {
  return std::chrono::steady_clock::now();
}

}  // namespace

const std::vector<FaultInjector::FaultKind>& FaultInjector::Unplanned() {
  static const std::vector<FaultKind> kinds{
      {"process paused", &FaultInjector::PauseInstance},
      {"process killed", &FaultInjector::KillInstance},
      {"all processes killed", &FaultInjector::KillAll},
      {"link to the store cut", &FaultInjector::CutStoreLink},
      {"link to the store slow", &FaultInjector::DelayStoreLink},
      {"link to the store reset", &FaultInjector::ResetStoreLink},
      {"store away", &FaultInjector::StopStore},
      {"key withdrawn unseen", &FaultInjector::WithdrawKeyUnseen},
      {"answers of the store lost", &FaultInjector::LoseCommitAnswers},
      {"history of the store lost", &FaultInjector::ForgetHistory},
      {"link to a backend server harmed", &FaultInjector::HarmBackendLink},
      {"backend server misbehaves", &FaultInjector::MisleadBackend},
      {"backend server misbehaves", &FaultInjector::MisleadBackend},
  };
  return kinds;
}

const std::vector<FaultInjector::FaultKind>& FaultInjector::Planned() {
  static const std::vector<FaultKind> kinds{
      {"process stopped", &FaultInjector::StopInstance},
      {"settings reloaded", &FaultInjector::ReloadInstance},
      {"configuration changed", &FaultInjector::ChangeConfig},
      {"backend server leaves", &FaultInjector::RetireBackend},
  };
  return kinds;
}

FaultInjector::FaultInjector(SoakFleet& fleet, std::uint64_t seed)
    : fleet_(fleet), random_(seed), next_fault_(Now()), phase_end_(Now()) {}

void FaultInjector::Step() {
  const Time now = Now();
  for (std::size_t i = 0; i < pending_.size();) {
    if (pending_[i].due > now) {
      ++i;
      continue;
    }
    const Pending over = std::move(pending_[i]);
    pending_.erase(pending_.begin() + static_cast<std::ptrdiff_t>(i));
    over.end();
    if (over.fault != kPlanned)
      faults_[over.fault].until = Now();
  }
  CheckProcesses();
  if (now >= phase_end_) {
    planned_only_ = random_.Chance(40);
    phase_end_ = now + random_.Between(5000, 12000);
  }
  if (now < next_fault_ || pending_.size() >= kMostFaultsAtOnce)
    return;
  StartFault();
  next_fault_ = now + random_.Between(20, 500);
}

void FaultInjector::StartFault() {
  const bool planned = planned_only_ || random_.Chance(35);
  const FaultKind& kind = random_.Pick(planned ? Planned() : Unplanned());
  current_ = kPlanned;
  if (!planned) {
    current_ = faults_.size();
    faults_.push_back({std::string(kind.name), Now(), Time::max()});
  }
  const std::size_t waiting = pending_.size();
  (this->*kind.inject)();
  // A fault of a moment.
  if (!planned && pending_.size() == waiting)
    faults_[current_].until = Now();
}

void FaultInjector::Heal() {
  while (!pending_.empty()) {
    for (Pending& pending : pending_)
      pending.due = Now();
    next_fault_ = Time::max();
    Step();
  }
  for (InstanceSlot& slot : fleet_.slots()) {
    if (slot.instance && slot.stop_asked) {
      while (slot.instance)
        CheckProcesses();
    }
    if (!slot.instance)
      fleet_.StartInstance(slot);
  }
  pending_.clear();
}

void FaultInjector::EndAfter(Millis duration, std::function<void()> end) {
  pending_.push_back({Now() + duration, std::move(end), current_});
}

void FaultInjector::PauseInstance() {
  InstanceSlot& slot = fleet_.slots()[random_.Below(fleet_.slots().size())];
  if (!slot.instance)
    return;
  const std::shared_ptr<entry_test::EntryInstance> paused = slot.instance;
  paused->process().Stop();
  EndAfter(Long(), [paused] { paused->process().Continue(); });
}

void FaultInjector::KillInstance() {
  InstanceSlot& slot = fleet_.slots()[random_.Below(fleet_.slots().size())];
  if (!slot.instance)
    return;
  Kill(slot);
  StartAgain(slot, Short());
}

void FaultInjector::KillAll() {
  if (!random_.Chance(30))
    return;
  for (InstanceSlot& slot : fleet_.slots()) {
    if (!slot.instance)
      continue;
    Kill(slot);
    StartAgain(slot, Short());
  }
}

void FaultInjector::CutStoreLink() {
  support::TcpProxy& link =
      *fleet_.slots()[random_.Below(fleet_.slots().size())].store_link;
  link.SetMode(
      random_.Pick<LinkMode>({LinkMode::kDropBothDirections,
                              LinkMode::kDropFromTarget, LinkMode::kReset}));
  EndAfter(Long(), [&link] {
    link.SetMode(LinkMode::kForward);
    // Bytes that a cut swallowed must not be followed by later ones.
    link.ResetConnections();
  });
}

void FaultInjector::DelayStoreLink() {
  support::TcpProxy& link =
      *fleet_.slots()[random_.Below(fleet_.slots().size())].store_link;
  link.SetDelay(random_.Between(20, 400));
  EndAfter(Long(), [&link] { link.SetDelay(Millis(0)); });
}

void FaultInjector::ResetStoreLink() {
  fleet_.slots()[random_.Below(fleet_.slots().size())]
      .store_link->ResetConnections();
}

void FaultInjector::StopStore() {
  fleet_.store().SetMode(random_.Pick<StoreMode>(
      {StoreMode::kRefusing, StoreMode::kClosing, StoreMode::kSilent}));
  EndAfter(Long(), [this] { fleet_.store().SetMode(StoreMode::kUp); });
}

// The store serves the operator and turns all instances away, for longer than a
// withdrawn key may work.
void FaultInjector::WithdrawKeyUnseen() {
  fleet_.store().SetMode(random_.Pick<StoreMode>(
      {StoreMode::kRefusing, StoreMode::kClosing, StoreMode::kSilent}));
  fleet_.ChangeConfig(true);
  EndAfter(random_.Between(6000, 9000),
           [this] { fleet_.store().SetMode(StoreMode::kUp); });
}

void FaultInjector::LoseCommitAnswers() {
  fleet_.store().LoseCommitAnswers(1 + static_cast<int>(random_.Below(5)));
}

void FaultInjector::ForgetHistory() {
  fleet_.store().ForgetHistory();
}

void FaultInjector::HarmBackendLink() {
  support::TcpProxy& link = *AnyListedBackend().link;
  if (random_.Chance(30))
    link.SetDelay(random_.Between(20, 500));
  else
    link.SetMode(
        random_.Pick<LinkMode>({LinkMode::kDropBothDirections,
                                LinkMode::kDropFromTarget, LinkMode::kReset}));
  EndAfter(Short(), [&link] {
    link.SetDelay(Millis(0));
    link.SetMode(LinkMode::kForward);
    link.ResetConnections();
  });
}

void FaultInjector::MisleadBackend() {
  entry_test::BackendStandin& backend = *AnyListedBackend().standin;
  backend.SetMode(random_.Pick<BackendMode>(
      {BackendMode::kRefuse, BackendMode::kForeignAnswerFirst,
       BackendMode::kTruncate, BackendMode::kLoseAnswer, BackendMode::kUnsealed,
       BackendMode::kHold, BackendMode::kCutInEvent,
       BackendMode::kWrongServer}));
  EndAfter(Short(), [&backend] { backend.SetMode(BackendMode::kAnswer); });
}

void FaultInjector::StopInstance() {
  InstanceSlot& slot = fleet_.slots()[random_.Below(fleet_.slots().size())];
  if (!slot.instance || slot.stop_asked)
    return;
  slot.stop_asked = Now();
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
  fleet_.RetireBackend(AnyListedBackend(), random_.Chance(60));
}

SoakBackend& FaultInjector::AnyListedBackend() {
  std::vector<SoakBackend*> listed;
  for (SoakBackend& backend : fleet_.backends()) {
    if (backend.listed)
      listed.push_back(&backend);
  }
  return *listed[random_.Below(listed.size())];
}

void FaultInjector::Kill(InstanceSlot& slot) {
  slot.instance->process().Signal(SIGKILL);
  slot.instance->process().Wait();
  fleet_.RemoveInstance(slot);
}

void FaultInjector::StartAgain(InstanceSlot& slot, Millis pause) {
  EndAfter(pause, [this, &slot] {
    if (!slot.instance)
      fleet_.StartInstance(slot);
  });
}

void FaultInjector::CheckProcesses() {
  for (InstanceSlot& slot : fleet_.slots()) {
    if (!slot.instance)
      continue;
    if (slot.stop_asked) {
      FinishStop(slot);
      continue;
    }
    if (slot.instance->process().running())
      continue;
    crashes_.push_back(slot.process());
    fleet_.RemoveInstance(slot);
    fleet_.StartInstance(slot);
  }
}

void FaultInjector::FinishStop(InstanceSlot& slot) {
  const Time asked = *slot.stop_asked;
  support::ChildProcess& process = slot.instance->process();
  const bool late = Now() - asked > kGrace;
  if (process.running() && !late)
    return;
  if (late)
    process.Signal(SIGKILL);
  const int status = process.Wait();
  const bool clean = WIFEXITED(status) && WEXITSTATUS(status) == 0;
  stops_.push_back({slot.process(), asked, Now(), !clean});
  fleet_.RemoveInstance(slot);
  current_ = kPlanned;
  StartAgain(slot, Short());
}

}  // namespace bamboomount::soak
