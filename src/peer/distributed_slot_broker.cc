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
constexpr Millis kQueuedRefresh{1000};
// Progress travels this often; a running stream then costs its owner about 20
// bytes a second.
constexpr Millis kProgressInterval{2000};
// Each request may use the local budget while an owner is down.
constexpr std::chrono::seconds kLocalBudgetLogInterval{10};
// An unacknowledged report is repeated after this time.
constexpr Millis kReportTimeout{75};

constexpr SlotOutcome kCancelledOutcome{SlotEnd::kCancelled, Tokens(0),
                                        std::nullopt, Millis(0)};

int DivisorOf(const std::vector<RosterMember>& members) {
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
  const std::lock_guard installing(install_mutex_);
  config_ = std::make_shared<const ServiceConfig>(config);
  std::erase_if(leaving_backends_, [&](const BackendId& backend) {
    return config.FindBackend(backend) == nullptr;
  });
  auto next = std::make_shared<View>();
  next->cells = CellMap(config);
  next->members = view()->members;
  Install(next);
}

void DistributedSlotBroker::UpdateRoster(
    const std::vector<RosterMember>& members) {
  const std::lock_guard installing(install_mutex_);
  auto next = std::make_shared<View>();
  next->cells = CellMap(*config_);
  next->members = members;
  Install(next);
}

void DistributedSlotBroker::Install(const std::shared_ptr<View>& next) {
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
  local_.Configure(*config_, DivisorOf(next->members));
  UpdateOwnedCells(*next, now);
  MoveEntries(*next, now);
  ReportToNewOwners(*before, *next, now);
  SendDueReports(now);
}

void DistributedSlotBroker::UpdateOwnedCells(const View& after,
                                             SteadyTime now) {
  const CellOwner self{self_, incarnation_};
  std::vector<CellId> kept;
  std::vector<CellId> added;
  {
    const std::unique_lock lock(owned_mutex_);
    std::erase_if(owned_, [&](const auto& entry) {
      const bool given_up = after.OwnerOf(entry.first) != self;
      if (given_up)
        Log(peer_events::kCellGivenUp, {{"cell", entry.first.value()}});
      return given_up;
    });
    for (const auto& [id, owner] : after.owners) {
      if (owner != self)
        continue;
      if (owned_.contains(id)) {
        kept.push_back(id);
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
      owned_.emplace(id, std::move(owned));
      added.push_back(id);
    }
  }
  for (const CellId& id : added)
    WithOwned(id, [&](OwnedCell& cell) { return cell.Tick(now); });
  for (const CellId& id : kept) {
    WithOwned(id, [&](OwnedCell& cell) {
      cell.SetBackends(after.cells.Find(id)->backends, now);
      return cell.OnRoster(after.members, now);
    });
  }
}

void DistributedSlotBroker::MoveEntries(const View& after, SteadyTime now) {
  Actions actions;
  for (Shard& shard : shards_) {
    const std::lock_guard lock(shard.mutex);
    for (auto& [id, entry] : shard.entries)
      MoveEntry(entry, after, now, actions);
  }
  Perform(std::move(actions));
}

void DistributedSlotBroker::MoveEntry(Entry& entry,
                                      const View& after,
                                      SteadyTime now,
                                      Actions& actions) {
  if (entry.runs()) {
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
  Ask(entry, after, now, actions);
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
      report.deadline = now + kReportTimeout;
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
      if (entry.runs()) {
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
DistributedSlotBroker::FindOwned(const CellId& cell) const {
  const std::shared_lock lock(owned_mutex_);
  const auto found = owned_.find(cell);
  return found == owned_.end() ? nullptr : found->second;
}

template <typename Action>
bool DistributedSlotBroker::WithOwned(const CellId& cell, Action action) {
  const auto owned = FindOwned(cell);
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
  const bool owned = WithOwned(message.cell, [&](OwnedCell& cell) {
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
  WithOwned(message.cell, [&](OwnedCell& cell) {
    return cell.OnCancel(from, message, clock_());
  });
}

void DistributedSlotBroker::Handle(const InstanceId& from,
                                   const SlotReleaseMessage& message) {
  WithOwned(message.cell, [&](OwnedCell& cell) {
    return cell.OnRelease(from, message, clock_());
  });
}

void DistributedSlotBroker::Handle(const InstanceId& from,
                                   const SlotProgressMessage& message) {
  for (const SlotProgress& progress : message.slots) {
    WithOwned(progress.cell, [&](OwnedCell& cell) {
      cell.OnProgress(from, progress, clock_());
      return OutgoingMessages();
    });
  }
}

void DistributedSlotBroker::Handle(const InstanceId& from,
                                   const CellReportMessage& message) {
  WithOwned(message.cell, [&](OwnedCell& cell) {
    return cell.OnReport(from, message, clock_());
  });
}

void DistributedSlotBroker::MarkLeaving(const BackendId& backend) {
  const SteadyTime now = clock_();
  {
    const std::lock_guard installing(install_mutex_);
    leaving_backends_.insert(backend);
  }
  local_.MarkLeaving(backend);
  const ViewPointer current = view();
  const Cell* cell = current->cells.CellOf(backend);
  if (cell == nullptr)
    return;
  WithOwned(cell->cell, [&](OwnedCell& owned) {
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
  WithOwned(cell->cell, [&](OwnedCell& owned) {
    owned.ObserveLoad(backend, report, clock_());
    return OutgoingMessages();
  });
}

std::vector<BackendId> DistributedSlotBroker::OwnedBackends() const {
  const ViewPointer current = view();
  std::vector<BackendId> backends;
  const std::shared_lock lock(owned_mutex_);
  for (const auto& [id, owned] : owned_) {
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
  const std::shared_lock lock(owned_mutex_);
  for (const auto& [id, owned] : owned_) {
    const std::lock_guard cell_lock(owned->mutex);
    statuses.push_back({id, owned->cell.waiting(), owned->cell.running()});
  }
  return statuses;
}

std::vector<std::shared_ptr<DistributedSlotBroker::LockedCell>>
DistributedSlotBroker::AllOwned() const {
  std::vector<std::shared_ptr<LockedCell>> all;
  const std::shared_lock lock(owned_mutex_);
  for (const auto& [id, owned] : owned_)
    all.push_back(owned);
  return all;
}

void DistributedSlotBroker::TickOwnedCells(SteadyTime now) {
  for (const auto& owned : AllOwned()) {
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
  Actions actions;
  bool added = false;
  {
    const std::lock_guard lock(shard.mutex);
    added = !shard.entries.contains(request.request);
    if (added) {
      Entry& entry = shard.entries[request.request];
      entry.pool = pool;
      entry.request = request;
      entry.done = done;
      Ask(entry, *current, now, actions);
    }
  }
  if (!added) {
    done(Error{ErrorCode::kConflict,
               RunVerdict::kNotRun,
               "a request with this id holds or waits for a slot",
               {}});
    return;
  }
  Perform(std::move(actions));
}

void DistributedSlotBroker::Ask(Entry& entry,
                                const View& view,
                                SteadyTime now,
                                Actions& actions) {
  const Cell* cell = view.cells.Find(entry.cell);
  if (cell == nullptr)
    cell = view.cells.Choose(entry.pool, entry.request.request,
                             entry.refused_cells);
  const auto owner = cell == nullptr ? std::nullopt : view.OwnerOf(cell->cell);
  entry.attempt = NextAttempt();
  if (cell == nullptr) {
    entry.phase = Phase::kAsking;
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
  entry.phase = Phase::kAsking;
  entry.tries = 0;
  SendRequest(entry, now, actions);
}

void DistributedSlotBroker::SendRequest(Entry& entry,
                                        SteadyTime now,
                                        Actions& actions) {
  ++entry.tries;
  entry.phase = Phase::kAsking;
  entry.deadline = now + kAcceptTimeout;
  actions.messages.push_back(
      {entry.owner.instance,
       SlotRequestMessage{entry.cell, entry.attempt, entry.request}});
}

void DistributedSlotBroker::AskAgain(Entry& entry,
                                     const View& view,
                                     SteadyTime now,
                                     Actions& actions) {
  if (view.OwnerOf(entry.cell) != entry.owner) {
    Ask(entry, view, now, actions);
    return;
  }
  if (entry.phase == Phase::kQueued)
    entry.tries = 0;
  if (entry.tries < kAskTries) {
    SendRequest(entry, now, actions);
    return;
  }
  actions.messages.push_back(
      {entry.owner.instance,
       SlotCancelMessage{entry.cell, entry.attempt, entry.request.request}});
  entry.attempt = NextAttempt();
  UseLocalBudget(entry, actions);
}

void DistributedSlotBroker::UseLocalBudget(Entry& entry, Actions& actions) {
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

void DistributedSlotBroker::OnLocalAnswer(const RequestId& request,
                                          SlotAttempt attempt,
                                          const Result<Slot>& result) {
  Shard& shard = ShardOf(request);
  Actions actions;
  {
    std::unique_lock lock(shard.mutex);
    const auto found = shard.entries.find(request);
    const bool known = found != shard.entries.end();
    if (!known || found->second.attempt != attempt ||
        found->second.phase != Phase::kWaitingLocally) {
      const bool newer = known && found->second.is_local();
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
  Perform(std::move(actions));
}

void DistributedSlotBroker::Handle(const InstanceId& from,
                                   const SlotAcceptedMessage& message) {
  Shard& shard = ShardOf(message.request);
  const std::lock_guard lock(shard.mutex);
  const auto found = shard.entries.find(message.request);
  if (found == shard.entries.end())
    return;
  Entry& entry = found->second;
  if (entry.attempt != message.attempt || entry.owner.instance != from ||
      !entry.waits_for_owner()) {
    return;
  }
  entry.phase = Phase::kQueued;
  entry.deadline = clock_() + kQueuedRefresh;
}

void DistributedSlotBroker::Handle(const InstanceId& from,
                                   const SlotGrantMessage& message) {
  const ViewPointer current = view();
  const SteadyTime now = clock_();
  Shard& shard = ShardOf(message.request);
  Actions actions;
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
    } else if (known && found->second.runs()) {
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
  Perform(std::move(actions));
}

void DistributedSlotBroker::Handle(const InstanceId& /*from*/,
                                   const SlotRefusalMessage& message) {
  const ViewPointer current = view();
  Shard& shard = ShardOf(message.request);
  Actions actions;
  {
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.entries.find(message.request);
    if (found == shard.entries.end() ||
        found->second.attempt != message.attempt ||
        !found->second.waits_for_owner()) {
      return;
    }
    if (message.not_owner) {
      LookForOwner(found->second, *current, actions);
    } else {
      TakeRefusal(shard, found->second, message, *current, actions);
    }
  }
  Perform(std::move(actions));
}

void DistributedSlotBroker::LookForOwner(Entry& entry,
                                         const View& view,
                                         Actions& actions) {
  const SteadyTime now = clock_();
  if (view.OwnerOf(entry.cell) != entry.owner) {
    Ask(entry, view, now, actions);
  } else if (entry.phase == Phase::kQueued) {
    // It gave the cell up. With the same owner still in view, the deadline
    // asks it again: its roster or configuration may be ahead of this one.
    entry.deadline = now;
  }
}

void DistributedSlotBroker::TakeRefusal(Shard& shard,
                                        Entry& entry,
                                        const SlotRefusalMessage& message,
                                        const View& view,
                                        Actions& actions) {
  entry.refused_cells.push_back(entry.cell);
  const bool may_ask_other = message.reason == ErrorCode::kOverloaded &&
                             entry.refused_cells.size() == 1;
  const Cell* other =
      may_ask_other
          ? view.cells.Choose(entry.pool, message.request, entry.refused_cells)
          : nullptr;
  if (other != nullptr) {
    entry.cell = other->cell;
    Ask(entry, view, clock_(), actions);
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
                                  Entry& entry,
                                  Phase phase,
                                  const BackendId& backend,
                                  Actions& actions) {
  entry.phase = phase;
  entry.backend = backend;
  const RequestId& request = entry.request.request;
  AddDelivery(shard, request, std::exchange(entry.done, nullptr),
              Slot{request, backend}, actions);
}

void DistributedSlotBroker::Refuse(Shard& shard,
                                   const RequestId& request,
                                   const Error& error,
                                   Actions& actions) {
  auto entry = shard.entries.extract(request);
  AddDelivery(shard, entry.key(), std::move(entry.mapped().done), error,
              actions);
}

void DistributedSlotBroker::AddDelivery(Shard& shard,
                                        const RequestId& request,
                                        Callback done,
                                        Result<Slot> result,
                                        Actions& actions) {
  auto delivering = std::make_shared<Delivering>();
  delivering->thread = std::this_thread::get_id();
  shard.delivering[request] = delivering;
  actions.deliveries.push_back({&shard, request, std::move(delivering),
                                std::move(done), std::move(result)});
}

void DistributedSlotBroker::Perform(Actions actions) {
  for (Delivery& delivery : actions.deliveries)
    Deliver(std::move(delivery));
  Send(actions.messages);
  for (const RequestId& request : actions.without_backend)
    RefuseWithoutBackend(request);
  for (const auto& local : actions.local_requests) {
    const RequestId request = local.request.request;
    const SlotAttempt attempt = local.attempt;
    local_.Request(local.pool, local.request,
                   [this, request, attempt](const Result<Slot>& result) {
                     OnLocalAnswer(request, attempt, result);
                   });
  }
}

void DistributedSlotBroker::Deliver(Delivery delivery) {
  Shard& shard = *delivery.shard;
  {
    const std::lock_guard lock(shard.mutex);
    delivery.delivering->started = !delivery.delivering->cancelled;
  }
  if (delivery.delivering->started)
    delivery.done(std::move(delivery.result));
  {
    const std::lock_guard lock(shard.mutex);
    // The callback may have placed the request anew.
    const auto found = shard.delivering.find(delivery.request);
    if (found != shard.delivering.end() &&
        found->second == delivery.delivering) {
      shard.delivering.erase(found);
    }
  }
  shard.delivered.notify_all();
}

void DistributedSlotBroker::RefuseWithoutBackend(const RequestId& request) {
  Shard& shard = ShardOf(request);
  Actions actions;
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
  Perform(std::move(actions));
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
  shard.delivered.wait(lock, [&] {
    const auto found = shard.delivering.find(request);
    if (found == shard.delivering.end())
      return true;
    Delivering& delivering = *found->second;
    if (!delivering.started)
      delivering.cancelled = true;
    return delivering.cancelled ||
           delivering.thread == std::this_thread::get_id();
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
  if (found == shard.entries.end() || !found->second.runs())
    return;
  Entry entry = std::move(found->second);
  shard.entries.erase(found);
  lock.unlock();
  EndRequest(entry, outcome);
}

void DistributedSlotBroker::EndRequest(const Entry& entry,
                                       const SlotOutcome& outcome) {
  const RequestId& request = entry.request.request;
  if (entry.phase == Phase::kWaitingLocally)
    return local_.Cancel(request);
  if (entry.phase == Phase::kRunningLocally)
    local_.Release(request, outcome);
  const auto owner = view()->OwnerOf(entry.cell);
  if (!owner)
    return;
  if (entry.runs()) {
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
    if (found == shard.entries.end() || !found->second.runs())
      return;
    Entry& entry = found->second;
    entry.generated = std::max(entry.generated, generated);
    entry.progress_due = true;
    local = entry.phase == Phase::kRunningLocally;
  }
  if (local)
    local_.ReportProgress(request, generated);
}

void DistributedSlotBroker::Tick() {
  const SteadyTime now = clock_();
  TickEntries(now);
  SendDueReports(now);
  TickOwnedCells(now);
  SendProgress(now);
  local_.Tick();
}

void DistributedSlotBroker::TickEntries(SteadyTime now) {
  const ViewPointer current = view();
  Actions actions;
  for (Shard& shard : shards_) {
    const std::lock_guard lock(shard.mutex);
    for (auto& [id, entry] : shard.entries) {
      if (entry.waits_for_owner() && entry.deadline <= now)
        AskAgain(entry, *current, now, actions);
    }
  }
  Perform(std::move(actions));
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
      if (!entry.runs() || !entry.progress_due || !owner)
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
