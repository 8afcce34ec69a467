#include "peer/distributed_slot_broker.h"

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

#include "peer/events.h"
#include "telemetry/telemetry.h"

namespace bamboomount {
namespace {

// A queued request is asked for again after this time, so that a lost grant or
// refusal costs no more.
constexpr Millis kQueuedResendInterval{1000};
// Progress travels this often; a running stream then costs its owner about 20
// bytes a second.
constexpr Millis kProgressInterval{2000};
// Each request may use the local budget while an owner is down.
constexpr std::chrono::seconds kLocalBudgetLogInterval{10};
// An unacknowledged report is repeated after this time.
constexpr Millis kReportResendInterval{75};

constexpr SlotOutcome kCancelledOutcome{SlotEnd::kCancelled, Tokens(0),
                                        std::nullopt, Millis(0)};

int BudgetDivisor(const std::vector<RosterMember>& members) {
  return std::max(1, static_cast<int>(members.size()));
}

}  // namespace

std::optional<CellOwner> DistributedSlotBroker::View::OwnerOf(
    const CellId& cell) const {
  const auto found = owners.find(cell);
  if (found == owners.end())
    return {};
  return found->second;
}

DistributedSlotBroker::DistributedSlotBroker(InstanceId self,
                                             Incarnation incarnation,
                                             PeerTransport& transport,
                                             const ServiceConfig& config,
                                             SteadyClock clock)
    : self_(std::move(self)),
      incarnation_(incarnation),
      transport_(transport),
      clock_(std::move(clock)),
      local_(config, 1),
      view_(std::make_shared<const View>()),
      config_(std::make_shared<const ServiceConfig>(config)) {
  RosterMember member;
  member.instance = self_;
  member.incarnation = incarnation_;
  UpdateRoster({member});
}

void DistributedSlotBroker::Configure(const ServiceConfig& config) {
  const std::lock_guard installing(view_install_mutex_);
  config_ = std::make_shared<const ServiceConfig>(config);
  std::erase_if(leaving_backends_, [&](const BackendId& backend) {
    return config.FindBackend(backend) == nullptr;
  });
  auto next = std::make_shared<View>();
  next->cells = CellMap(config);
  next->members = view()->members;
  InstallView(next);
}

void DistributedSlotBroker::UpdateRoster(
    const std::vector<RosterMember>& members) {
  const std::lock_guard installing(view_install_mutex_);
  auto next = std::make_shared<View>();
  next->cells = CellMap(*config_);
  next->members = members;
  InstallView(next);
}

void DistributedSlotBroker::InstallView(const std::shared_ptr<View>& next) {
  for (const auto& [id, cell] : next->cells.cells()) {
    const auto owner = bamboomount::OwnerOf(id, next->members);
    if (owner)
      next->owners.emplace(id, *owner);
  }
  const ViewPointer before = view();
  {
    const std::lock_guard lock(view_mutex_);
    view_ = next;
  }
  const SteadyTime now = clock_();
  local_.Configure(*config_, BudgetDivisor(next->members));
  UpdateOwnedCells(*next, now);
  ApplyViewToEntries(*next, now);
  ReportToNewOwners(*before, *next, now);
  SendDueReports(now);
}

void DistributedSlotBroker::UpdateOwnedCells(const View& after,
                                             SteadyTime now) {
  const CellOwner self{self_, incarnation_};
  std::vector<CellId> retained;
  std::vector<CellId> added;
  {
    const std::unique_lock lock(owned_cells_mutex_);
    std::erase_if(owned_cells_, [&](const auto& entry) {
      const bool ownership_lost = after.OwnerOf(entry.first) != self;
      if (ownership_lost)
        Log(peer_events::kCellGivenUp, {{"cell", entry.first.value()}});
      return ownership_lost;
    });
    for (const auto& [id, owner] : after.owners) {
      if (owner != self)
        continue;
      if (owned_cells_.contains(id)) {
        retained.push_back(id);
        continue;
      }
      Log(peer_events::kCellOwned, {{"cell", id.value()}});
      const Cell& cell = *after.cells.Find(id);
      auto owned =
          std::make_shared<LockedCell>(cell, incarnation_, after.members, now);
      for (const CellBackend& backend : cell.backends) {
        if (leaving_backends_.contains(backend.backend))
          owned->cell.MarkLeaving(backend.backend, now);
      }
      owned_cells_.emplace(id, std::move(owned));
      added.push_back(id);
    }
  }
  for (const CellId& id : added)
    WithOwnedCell(id, [&](OwnedCell& cell) { return cell.Tick(now); });
  for (const CellId& id : retained) {
    WithOwnedCell(id, [&](OwnedCell& cell) {
      cell.SetBackends(after.cells.Find(id)->backends, now);
      return cell.OnRoster(after.members, now);
    });
  }
}

void DistributedSlotBroker::ApplyViewToEntries(const View& after,
                                               SteadyTime now) {
  DeferredActions actions;
  for (Shard& shard : shards_) {
    const std::lock_guard lock(shard.mutex);
    for (auto& [id, entry] : shard.entries)
      ApplyViewToEntry(entry, after, now, actions);
  }
  PerformActions(std::move(actions));
}

void DistributedSlotBroker::ApplyViewToEntry(RequestEntry& entry,
                                             const View& after,
                                             SteadyTime now,
                                             DeferredActions& actions) {
  if (entry.is_running()) {
    // The backend server may belong to another cell now.
    const Cell* cell = after.cells.CellOf(entry.backend);
    if (cell == nullptr || cell->cell == entry.cell)
      return;
    entry.cell = cell->cell;
    const auto owner = after.OwnerOf(entry.cell);
    if (owner)
      QueueReport(entry.cell, *owner, now);
    return;
  }
  if (!entry.waits_for_owner())
    return;
  if (after.cells.Find(entry.cell) != nullptr &&
      after.OwnerOf(entry.cell) == entry.owner) {
    return;
  }
  StartAttempt(entry, after, now, actions);
}

void DistributedSlotBroker::ReportToNewOwners(const View& before,
                                              const View& after,
                                              SteadyTime now) {
  for (const auto& [id, owner] : after.owners) {
    if (before.OwnerOf(id) != owner)
      QueueReport(id, owner, now);
  }
}

void DistributedSlotBroker::QueueReport(const CellId& cell,
                                        const CellOwner& owner,
                                        SteadyTime now) {
  const std::lock_guard lock(reports_mutex_);
  reports_[cell] = {owner, now, false};
}

void DistributedSlotBroker::SendDueReports(SteadyTime now) {
  const ViewPointer current = view();
  std::vector<std::pair<CellId, CellOwner>> due;
  {
    const std::lock_guard lock(reports_mutex_);
    std::erase_if(reports_, [&](const auto& entry) {
      return current->OwnerOf(entry.first) != entry.second.owner;
    });
    for (auto& [cell, report] : reports_) {
      if (report.deadline > now)
        continue;
      report.deadline = now + kReportResendInterval;
      report.sent = true;
      due.emplace_back(cell, report.owner);
    }
  }
  OutgoingMessages messages;
  for (const auto& [cell, owner] : due)
    messages.push_back({owner.instance, MakeReport(cell, owner)});
  Send(messages);
}

CellReportMessage DistributedSlotBroker::MakeReport(const CellId& cell,
                                                    const CellOwner& owner) {
  CellReportMessage report{cell, owner.incarnation, {}, {}};
  for (Shard& shard : shards_) {
    const std::lock_guard lock(shard.mutex);
    for (const auto& [id, entry] : shard.entries) {
      if (entry.cell != cell)
        continue;
      if (entry.is_running()) {
        report.running.push_back(
            {entry.attempt, entry.request, entry.backend, entry.generated});
      } else if (entry.waits_for_owner() && entry.owner == owner) {
        report.waiting.push_back({entry.attempt, entry.request});
      }
    }
  }
  return report;
}

void DistributedSlotBroker::HandleMessage(const InstanceId& sender,
                                          const PeerMessage& message) {
  std::visit(
      [&](const auto& body) {
        if constexpr (requires { Handle(sender, body); })
          Handle(sender, body);
      },
      message);
}

// Owner's side.

std::shared_ptr<DistributedSlotBroker::LockedCell>
DistributedSlotBroker::FindOwnedCell(const CellId& cell) const {
  const std::shared_lock lock(owned_cells_mutex_);
  const auto found = owned_cells_.find(cell);
  return found == owned_cells_.end() ? nullptr : found->second;
}

template <typename Action>
bool DistributedSlotBroker::WithOwnedCell(const CellId& cell, Action action) {
  const auto owned = FindOwnedCell(cell);
  if (owned == nullptr)
    return false;
  OutgoingMessages messages;
  {
    const std::lock_guard lock(owned->mutex);
    messages = action(owned->cell);
  }
  Send(messages);
  return true;
}

void DistributedSlotBroker::Handle(const InstanceId& from,
                                   const SlotRequestMessage& message) {
  const bool owned = WithOwnedCell(message.cell, [&](OwnedCell& cell) {
    return cell.OnRequest(from, message, clock_());
  });
  if (owned)
    return;
  SlotRefusalMessage refusal{
      message.cell, message.attempt, message.request.request, true, {}, {}};
  Send({{from, refusal}});
}

void DistributedSlotBroker::Handle(const InstanceId& from,
                                   const SlotCancelMessage& message) {
  WithOwnedCell(message.cell, [&](OwnedCell& cell) {
    return cell.OnCancel(from, message, clock_());
  });
}

void DistributedSlotBroker::Handle(const InstanceId& from,
                                   const SlotReleaseMessage& message) {
  WithOwnedCell(message.cell, [&](OwnedCell& cell) {
    return cell.OnRelease(from, message, clock_());
  });
}

void DistributedSlotBroker::Handle(const InstanceId& from,
                                   const SlotProgressMessage& message) {
  for (const SlotProgress& progress : message.slots) {
    WithOwnedCell(progress.cell, [&](OwnedCell& cell) {
      cell.OnProgress(from, progress, clock_());
      return OutgoingMessages();
    });
  }
}

void DistributedSlotBroker::Handle(const InstanceId& from,
                                   const CellReportMessage& message) {
  WithOwnedCell(message.cell, [&](OwnedCell& cell) {
    return cell.OnReport(from, message, clock_());
  });
}

void DistributedSlotBroker::MarkLeaving(const BackendId& backend) {
  const SteadyTime now = clock_();
  {
    const std::lock_guard installing(view_install_mutex_);
    leaving_backends_.insert(backend);
  }
  local_.MarkLeaving(backend);
  const ViewPointer current = view();
  const Cell* cell = current->cells.CellOf(backend);
  if (cell == nullptr)
    return;
  WithOwnedCell(cell->cell, [&](OwnedCell& owned) {
    owned.MarkLeaving(backend, now);
    return owned.Tick(now);
  });
}

void DistributedSlotBroker::ObserveLoad(const BackendId& backend,
                                        const LoadReport& report) {
  const ViewPointer current = view();
  const Cell* cell = current->cells.CellOf(backend);
  if (cell == nullptr)
    return;
  WithOwnedCell(cell->cell, [&](OwnedCell& owned) {
    owned.ObserveLoad(backend, report, clock_());
    return OutgoingMessages();
  });
}

std::vector<BackendId> DistributedSlotBroker::OwnedBackends() const {
  const ViewPointer current = view();
  std::vector<BackendId> backends;
  const std::shared_lock lock(owned_cells_mutex_);
  for (const auto& [id, owned] : owned_cells_) {
    const Cell* cell = current->cells.Find(id);
    if (cell == nullptr)
      continue;
    for (const CellBackend& backend : cell->backends)
      backends.push_back(backend.backend);
  }
  return backends;
}

std::vector<OwnedCellStatus> DistributedSlotBroker::OwnedCells() const {
  std::vector<OwnedCellStatus> statuses;
  const std::shared_lock lock(owned_cells_mutex_);
  for (const auto& [id, owned] : owned_cells_) {
    const std::lock_guard cell_lock(owned->mutex);
    statuses.push_back({id, owned->cell.waiting(), owned->cell.running()});
  }
  return statuses;
}

std::vector<std::shared_ptr<DistributedSlotBroker::LockedCell>>
DistributedSlotBroker::AllOwnedCells() const {
  std::vector<std::shared_ptr<LockedCell>> all;
  const std::shared_lock lock(owned_cells_mutex_);
  for (const auto& [id, owned] : owned_cells_)
    all.push_back(owned);
  return all;
}

void DistributedSlotBroker::TickOwnedCells(SteadyTime now) {
  for (const auto& owned : AllOwnedCells()) {
    OutgoingMessages messages;
    {
      const std::lock_guard lock(owned->mutex);
      messages = owned->cell.Tick(now);
    }
    Send(messages);
  }
}

// Requesting side.

DistributedSlotBroker::Shard& DistributedSlotBroker::ShardOf(
    const RequestId& request) {
  return shards_[std::hash<RequestId>{}(request) % kShardCount];
}

DistributedSlotBroker::ViewPointer DistributedSlotBroker::view() const {
  const std::lock_guard lock(view_mutex_);
  return view_;
}

SlotAttempt DistributedSlotBroker::NextAttempt() {
  return SlotAttempt(++last_attempt_);
}

std::size_t DistributedSlotBroker::open_requests() const {
  std::size_t count = 0;
  for (const Shard& shard : shards_) {
    const std::lock_guard lock(shard.mutex);
    count += shard.entries.size();
  }
  return count;
}

void DistributedSlotBroker::Request(const PoolId& pool,
                                    const SlotRequest& request,
                                    Callback done) {
  const ViewPointer current = view();
  const SteadyTime now = clock_();
  Shard& shard = ShardOf(request.request);
  DeferredActions actions;
  bool added = false;
  {
    const std::lock_guard lock(shard.mutex);
    added = !shard.entries.contains(request.request);
    if (added) {
      RequestEntry& entry = shard.entries[request.request];
      entry.pool = pool;
      entry.request = request;
      entry.done = done;
      StartAttempt(entry, *current, now, actions);
    }
  }
  if (!added) {
    done(Error{ErrorCode::kConflict,
               RunVerdict::kNotRun,
               "a request with this id holds or waits for a slot",
               {}});
    return;
  }
  PerformActions(std::move(actions));
}

void DistributedSlotBroker::StartAttempt(RequestEntry& entry,
                                         const View& view,
                                         SteadyTime now,
                                         DeferredActions& actions) {
  const Cell* cell = view.cells.Find(entry.cell);
  if (cell == nullptr)
    cell = view.cells.ChooseCell(entry.pool, entry.request.request,
                                 entry.refused_cells);
  const auto owner = cell == nullptr ? std::nullopt : view.OwnerOf(cell->cell);
  entry.attempt = NextAttempt();
  if (cell == nullptr) {
    entry.phase = Phase::kSent;
    actions.without_backend.push_back(entry.request.request);
    return;
  }
  if (!owner) {
    // All routers leave.
    UseLocalBudget(entry, actions);
    return;
  }
  entry.cell = cell->cell;
  entry.owner = *owner;
  entry.phase = Phase::kSent;
  entry.sends = 0;
  SendRequest(entry, now, actions);
}

void DistributedSlotBroker::SendRequest(RequestEntry& entry,
                                        SteadyTime now,
                                        DeferredActions& actions) {
  ++entry.sends;
  entry.phase = Phase::kSent;
  entry.deadline = now + kAcceptTimeout;
  actions.messages.push_back(
      {entry.owner.instance,
       SlotRequestMessage{entry.cell, entry.attempt, entry.request}});
}

void DistributedSlotBroker::HandleEntryTimeout(RequestEntry& entry,
                                               const View& view,
                                               SteadyTime now,
                                               DeferredActions& actions) {
  if (view.OwnerOf(entry.cell) != entry.owner) {
    StartAttempt(entry, view, now, actions);
    return;
  }
  if (entry.phase == Phase::kQueued)
    entry.sends = 0;
  if (entry.sends < kMaxRequestSends) {
    SendRequest(entry, now, actions);
    return;
  }
  actions.messages.push_back(
      {entry.owner.instance,
       SlotCancelMessage{entry.cell, entry.attempt, entry.request.request}});
  entry.attempt = NextAttempt();
  UseLocalBudget(entry, actions);
}

void DistributedSlotBroker::UseLocalBudget(RequestEntry& entry,
                                           DeferredActions& actions) {
  ++local_budget_uses_;
  LogLocalBudgetUse(entry.cell);
  entry.phase = Phase::kWaitingLocally;
  actions.local_requests.push_back({entry.pool, entry.request, entry.attempt});
}

void DistributedSlotBroker::LogLocalBudgetUse(const CellId& cell) {
  const std::lock_guard lock(log_mutex_);
  const SteadyTime now = clock_();
  if (now < local_budget_logged_at_ + kLocalBudgetLogInterval)
    return;
  local_budget_logged_at_ = now;
  Log(peer_events::kLocalBudgetUsed, {{"cell", cell.value()}});
}

void DistributedSlotBroker::OnLocalResult(const RequestId& request,
                                          SlotAttempt attempt,
                                          const Result<Slot>& result) {
  Shard& shard = ShardOf(request);
  DeferredActions actions;
  {
    std::unique_lock lock(shard.mutex);
    const auto found = shard.entries.find(request);
    const bool known = found != shard.entries.end();
    if (!known || found->second.attempt != attempt ||
        found->second.phase != Phase::kWaitingLocally) {
      const bool newer = known && found->second.uses_local_budget();
      lock.unlock();
      // Cancelled before the local budget had got the request.
      if (result && !newer)
        local_.Release(request, kCancelledOutcome);
      return;
    }
    if (result) {
      Grant(shard, found->second, Phase::kRunningLocally,
            result.value().backend, actions);
    } else {
      Refuse(shard, request, result.error(), actions);
    }
  }
  PerformActions(std::move(actions));
}

void DistributedSlotBroker::Handle(const InstanceId& from,
                                   const SlotAcceptedMessage& message) {
  Shard& shard = ShardOf(message.request);
  const std::lock_guard lock(shard.mutex);
  const auto found = shard.entries.find(message.request);
  if (found == shard.entries.end())
    return;
  RequestEntry& entry = found->second;
  if (entry.attempt != message.attempt || entry.owner.instance != from ||
      !entry.waits_for_owner()) {
    return;
  }
  entry.phase = Phase::kQueued;
  entry.deadline = clock_() + kQueuedResendInterval;
}

void DistributedSlotBroker::Handle(const InstanceId& from,
                                   const SlotGrantMessage& message) {
  const ViewPointer current = view();
  const SteadyTime now = clock_();
  Shard& shard = ShardOf(message.request);
  DeferredActions actions;
  {
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.entries.find(message.request);
    const bool known = found != shard.entries.end() &&
                       found->second.attempt == message.attempt &&
                       found->second.cell == message.cell;
    if (known && found->second.waits_for_owner()) {
      Grant(shard, found->second, Phase::kRunning, message.backend, actions);
      // The present owner would not know of a slot that a former one granted.
      const auto owner = current->OwnerOf(message.cell);
      if (owner && owner->instance != from)
        QueueReport(message.cell, *owner, now);
    } else if (known && found->second.is_running()) {
      actions.messages.push_back(
          {from,
           SlotProgressMessage{{{message.cell, message.attempt, message.request,
                                 found->second.generated}}}});
    } else {
      actions.messages.push_back(
          {from, SlotReleaseMessage{message.cell, message.attempt,
                                    message.request, kCancelledOutcome}});
    }
  }
  PerformActions(std::move(actions));
}

void DistributedSlotBroker::Handle(const InstanceId& /*from*/,
                                   const SlotRefusalMessage& message) {
  const ViewPointer current = view();
  Shard& shard = ShardOf(message.request);
  DeferredActions actions;
  {
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.entries.find(message.request);
    if (found == shard.entries.end() ||
        found->second.attempt != message.attempt ||
        !found->second.waits_for_owner()) {
      return;
    }
    if (message.not_owner) {
      HandleNotOwner(found->second, *current, actions);
    } else {
      HandleRefusal(shard, found->second, message, *current, actions);
    }
  }
  PerformActions(std::move(actions));
}

void DistributedSlotBroker::HandleNotOwner(RequestEntry& entry,
                                           const View& view,
                                           DeferredActions& actions) {
  const SteadyTime now = clock_();
  if (view.OwnerOf(entry.cell) != entry.owner) {
    StartAttempt(entry, view, now, actions);
  } else if (entry.phase == Phase::kQueued) {
    // It gave the cell up. With the same owner still in view, the deadline
    // asks it again: its roster or configuration may be ahead of this one.
    entry.deadline = now;
  }
}

void DistributedSlotBroker::HandleRefusal(Shard& shard,
                                          RequestEntry& entry,
                                          const SlotRefusalMessage& message,
                                          const View& view,
                                          DeferredActions& actions) {
  entry.refused_cells.push_back(entry.cell);
  const bool may_try_other_cell = message.reason == ErrorCode::kOverloaded &&
                                  entry.refused_cells.size() == 1;
  const Cell* other_cell =
      may_try_other_cell ? view.cells.ChooseCell(entry.pool, message.request,
                                                 entry.refused_cells)
                         : nullptr;
  if (other_cell != nullptr) {
    entry.cell = other_cell->cell;
    StartAttempt(entry, view, clock_(), actions);
    return;
  }
  Refuse(shard, message.request,
         Error{message.reason, RunVerdict::kNotRun,
               "no backend server can take the request in time",
               message.retry_after},
         actions);
}

void DistributedSlotBroker::Handle(const InstanceId& from,
                                   const CellReportAcceptedMessage& message) {
  const std::lock_guard lock(reports_mutex_);
  const auto found = reports_.find(message.cell);
  if (found == reports_.end())
    return;
  const PendingReport& report = found->second;
  if (report.sent && report.owner == CellOwner{from, message.owner})
    reports_.erase(found);
}

void DistributedSlotBroker::Handle(const InstanceId& from,
                                   const CellReportRequestMessage& message) {
  Send({{from, MakeReport(message.cell, {from, message.owner})}});
}

void DistributedSlotBroker::Grant(Shard& shard,
                                  RequestEntry& entry,
                                  Phase phase,
                                  const BackendId& backend,
                                  DeferredActions& actions) {
  entry.phase = phase;
  entry.backend = backend;
  const RequestId& request = entry.request.request;
  AddCallback(shard, request, std::exchange(entry.done, nullptr),
              Slot{request, backend}, actions);
}

void DistributedSlotBroker::Refuse(Shard& shard,
                                   const RequestId& request,
                                   const Error& error,
                                   DeferredActions& actions) {
  auto entry = shard.entries.extract(request);
  AddCallback(shard, entry.key(), std::move(entry.mapped().done), error,
              actions);
}

void DistributedSlotBroker::AddCallback(Shard& shard,
                                        const RequestId& request,
                                        Callback done,
                                        Result<Slot> result,
                                        DeferredActions& actions) {
  auto state = std::make_shared<CallbackState>();
  state->thread = std::this_thread::get_id();
  shard.callback_states[request] = state;
  actions.callbacks.push_back(
      {&shard, request, std::move(state), std::move(done), std::move(result)});
}

void DistributedSlotBroker::PerformActions(DeferredActions actions) {
  for (PendingCallback& callback : actions.callbacks)
    RunCallback(std::move(callback));
  Send(actions.messages);
  for (const RequestId& request : actions.without_backend)
    RefuseWithoutBackend(request);
  for (const auto& local : actions.local_requests) {
    const RequestId request = local.request.request;
    const SlotAttempt attempt = local.attempt;
    local_.Request(local.pool, local.request,
                   [this, request, attempt](const Result<Slot>& result) {
                     OnLocalResult(request, attempt, result);
                   });
  }
}

void DistributedSlotBroker::RunCallback(PendingCallback callback) {
  Shard& shard = *callback.shard;
  {
    const std::lock_guard lock(shard.mutex);
    callback.state->started = !callback.state->cancelled;
  }
  if (callback.state->started)
    callback.done(std::move(callback.result));
  {
    const std::lock_guard lock(shard.mutex);
    // The callback may have placed the request anew.
    const auto found = shard.callback_states.find(callback.request);
    if (found != shard.callback_states.end() &&
        found->second == callback.state) {
      shard.callback_states.erase(found);
    }
  }
  shard.callback_finished.notify_all();
}

void DistributedSlotBroker::RefuseWithoutBackend(const RequestId& request) {
  Shard& shard = ShardOf(request);
  DeferredActions actions;
  {
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.entries.find(request);
    if (found == shard.entries.end() || !found->second.waits_for_owner())
      return;
    Refuse(shard, request,
           Error{ErrorCode::kNoBackend,
                 RunVerdict::kNotRun,
                 "the pool has no backend server",
                 {}},
           actions);
  }
  PerformActions(std::move(actions));
}

void DistributedSlotBroker::Send(const OutgoingMessages& messages) {
  for (const OutgoingMessage& outgoing : messages) {
    if (outgoing.to == self_) {
      HandleMessage(self_, outgoing.message);
    } else {
      transport_.Send(outgoing.to, outgoing.message);
    }
  }
}

void DistributedSlotBroker::Cancel(const RequestId& request) {
  Shard& shard = ShardOf(request);
  std::unique_lock lock(shard.mutex);
  shard.callback_finished.wait(lock, [&] {
    const auto found = shard.callback_states.find(request);
    if (found == shard.callback_states.end())
      return true;
    CallbackState& state = *found->second;
    if (!state.started)
      state.cancelled = true;
    return state.cancelled || state.thread == std::this_thread::get_id();
  });
  auto entry = shard.entries.extract(request);
  lock.unlock();
  if (!entry.empty())
    EndRequest(entry.mapped(), kCancelledOutcome);
}

void DistributedSlotBroker::Release(const RequestId& request,
                                    const SlotOutcome& outcome) {
  Shard& shard = ShardOf(request);
  std::unique_lock lock(shard.mutex);
  const auto found = shard.entries.find(request);
  if (found == shard.entries.end() || !found->second.is_running())
    return;
  RequestEntry entry = std::move(found->second);
  shard.entries.erase(found);
  lock.unlock();
  EndRequest(entry, outcome);
}

void DistributedSlotBroker::EndRequest(const RequestEntry& entry,
                                       const SlotOutcome& outcome) {
  const RequestId& request = entry.request.request;
  if (entry.phase == Phase::kWaitingLocally)
    return local_.Cancel(request);
  if (entry.phase == Phase::kRunningLocally)
    local_.Release(request, outcome);
  const auto owner = view()->OwnerOf(entry.cell);
  if (!owner)
    return;
  if (entry.is_running()) {
    Send({{owner->instance,
           SlotReleaseMessage{entry.cell, entry.attempt, request, outcome}}});
  } else {
    Send({{owner->instance,
           SlotCancelMessage{entry.cell, entry.attempt, request}}});
  }
}

void DistributedSlotBroker::ReportProgress(const RequestId& request,
                                           Tokens generated) {
  Shard& shard = ShardOf(request);
  bool local = false;
  {
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.entries.find(request);
    if (found == shard.entries.end() || !found->second.is_running())
      return;
    RequestEntry& entry = found->second;
    entry.generated = std::max(entry.generated, generated);
    entry.progress_due = true;
    local = entry.phase == Phase::kRunningLocally;
  }
  if (local)
    local_.ReportProgress(request, generated);
}

void DistributedSlotBroker::Tick() {
  const SteadyTime now = clock_();
  HandleEntryTimeouts(now);
  SendDueReports(now);
  TickOwnedCells(now);
  SendProgress(now);
  local_.Tick();
}

void DistributedSlotBroker::HandleEntryTimeouts(SteadyTime now) {
  const ViewPointer current = view();
  DeferredActions actions;
  for (Shard& shard : shards_) {
    const std::lock_guard lock(shard.mutex);
    for (auto& [id, entry] : shard.entries) {
      if (entry.waits_for_owner() && entry.deadline <= now)
        HandleEntryTimeout(entry, *current, now, actions);
    }
  }
  PerformActions(std::move(actions));
}

void DistributedSlotBroker::SendProgress(SteadyTime now) {
  if (now < progress_sent_at_ + kProgressInterval)
    return;
  progress_sent_at_ = now;
  const ViewPointer current = view();
  std::map<InstanceId, SlotProgressMessage> progress;
  for (Shard& shard : shards_) {
    const std::lock_guard lock(shard.mutex);
    for (auto& [id, entry] : shard.entries) {
      const auto owner = current->OwnerOf(entry.cell);
      if (!entry.is_running() || !entry.progress_due || !owner)
        continue;
      entry.progress_due = false;
      progress[owner->instance].slots.push_back(
          {entry.cell, entry.attempt, id, entry.generated});
    }
  }
  OutgoingMessages messages;
  for (auto& [owner, message] : progress)
    messages.push_back({owner, std::move(message)});
  Send(messages);
}

}  // namespace bamboomount
