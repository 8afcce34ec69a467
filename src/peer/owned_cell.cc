#include "peer/owned_cell.h"

#include <iterator>
#include <string>
#include <utility>

#include "peer/events.h"
#include "telemetry/telemetry.h"

namespace bamboomount {
namespace {

constexpr SlotOutcome kCancelledOutcome{SlotEnd::kCancelled, Tokens(0),
                                        std::nullopt, Millis(0)};

std::map<InstanceId, Incarnation> IncarnationsOf(
    const std::vector<RosterMember>& members) {
  std::map<InstanceId, Incarnation> incarnations;
  for (const RosterMember& member : members)
    incarnations.emplace(member.instance, member.incarnation);
  return incarnations;
}

}  // namespace

OwnedCell::OwnedCell(const Cell& cell,
                     Incarnation self_incarnation,
                     const std::vector<RosterMember>& members,
                     SteadyTime now)
    : cell_(cell.cell),
      self_incarnation_(self_incarnation),
      members_(IncarnationsOf(members)),
      collecting_until_(now + kCollectionLimit),
      next_report_request_(now) {
  scheduler_.SetBackends(cell.backends, now);
  for (const RosterMember& member : members)
    reports_missing_.insert(member.instance);
}

void OwnedCell::SetBackends(const std::vector<CellBackend>& backends,
                            SteadyTime now) {
  scheduler_.SetBackends(backends, now);
}

void OwnedCell::MarkLeaving(const BackendId& backend, SteadyTime now) {
  scheduler_.MarkLeaving(backend, now);
}

void OwnedCell::ObserveLoad(const BackendId& backend,
                            const LoadReport& report,
                            SteadyTime now) {
  scheduler_.ObserveLoad(backend, report, now);
}

OutgoingMessages OwnedCell::OnRequest(const InstanceId& from,
                                      const SlotRequestMessage& message,
                                      SteadyTime now) {
  OutgoingMessages out;
  Enqueue(from, message.attempt, message.request, now, out);
  Decide(now, out);
  return out;
}

void OwnedCell::Enqueue(const InstanceId& from,
                        SlotAttempt attempt,
                        const SlotRequest& request,
                        SteadyTime now,
                        OutgoingMessages& out) {
  if (!Supersede(from, request.request, attempt, now))
    return;
  const auto [found, added] =
      holders_.emplace(request.request, MakeHolder(from, attempt));
  if (found->second.backend) {
    // The grant was lost.
    out.push_back(GrantOf(request.request, found->second));
    return;
  }
  if (added)
    scheduler_.Enqueue(request, now);
  out.push_back({from, SlotAcceptedMessage{cell_, attempt, request.request}});
}

bool OwnedCell::Supersede(const InstanceId& from,
                          const RequestId& request,
                          SlotAttempt attempt,
                          SteadyTime now) {
  const auto found = holders_.find(request);
  if (found == holders_.end())
    return true;
  if (found->second.router != from || found->second.attempt > attempt)
    return false;
  if (found->second.attempt < attempt)
    Free(found, kCancelledOutcome, now);
  return true;
}

OwnedCell::Holder* OwnedCell::Find(const InstanceId& from,
                                   const RequestId& request,
                                   SlotAttempt attempt) {
  const auto found = holders_.find(request);
  if (found == holders_.end() || found->second.router != from ||
      found->second.attempt != attempt) {
    return nullptr;
  }
  return &found->second;
}

OwnedCell::Holder OwnedCell::MakeHolder(const InstanceId& router,
                                        SlotAttempt attempt) const {
  Holder holder;
  holder.router = router;
  holder.attempt = attempt;
  const auto member = members_.find(router);
  if (member != members_.end())
    holder.incarnation = member->second;
  return holder;
}

void OwnedCell::Free(Holders::iterator holder,
                     const SlotOutcome& outcome,
                     SteadyTime now) {
  if (holder->second.backend) {
    scheduler_.Finish(holder->first, outcome, now);
  } else {
    scheduler_.Cancel(holder->first, now);
  }
  holders_.erase(holder);
}

OutgoingMessages OwnedCell::OnCancel(const InstanceId& from,
                                     const SlotCancelMessage& message,
                                     SteadyTime now) {
  OutgoingMessages out;
  if (Find(from, message.request, message.attempt) != nullptr)
    Free(holders_.find(message.request), kCancelledOutcome, now);
  Decide(now, out);
  return out;
}

OutgoingMessages OwnedCell::OnRelease(const InstanceId& from,
                                      const SlotReleaseMessage& message,
                                      SteadyTime now) {
  OutgoingMessages out;
  if (Find(from, message.request, message.attempt) != nullptr)
    Free(holders_.find(message.request), message.outcome, now);
  Decide(now, out);
  return out;
}

void OwnedCell::OnProgress(const InstanceId& from,
                           const SlotProgress& progress,
                           SteadyTime now) {
  Holder* holder = Find(from, progress.request, progress.attempt);
  if (holder == nullptr || !holder->backend)
    return;
  holder->confirmed_at = now;
  holder->unanswered_confirmations = 0;
  scheduler_.ObserveProgress(progress.request, progress.generated, now);
}

OutgoingMessages OwnedCell::OnReport(const InstanceId& from,
                                     const CellReportMessage& message,
                                     SteadyTime now) {
  OutgoingMessages out;
  if (message.owner != self_incarnation_)
    return out;
  for (const RunningSlot& slot : message.running)
    AdoptRunning(from, slot, now);
  for (const WaitingSlot& slot : message.waiting)
    Enqueue(from, slot.attempt, slot.request, now, out);
  reports_missing_.erase(from);
  out.push_back({from, CellReportAcceptedMessage{cell_, self_incarnation_}});
  Decide(now, out);
  return out;
}

void OwnedCell::AdoptRunning(const InstanceId& from,
                             const RunningSlot& slot,
                             SteadyTime now) {
  const RequestId& request = slot.request.request;
  if (!Supersede(from, request, slot.attempt, now))
    return;
  const auto found = holders_.find(request);
  if (found != holders_.end() && !found->second.backend) {
    // An earlier owner granted it meanwhile.
    Free(found, kCancelledOutcome, now);
  }
  Holder& holder =
      holders_.emplace(request, MakeHolder(from, slot.attempt)).first->second;
  holder.confirmed_at = now;
  holder.unanswered_confirmations = 0;
  if (!holder.backend)
    scheduler_.Adopt(slot.request, slot.backend, now);
  holder.backend = slot.backend;
  scheduler_.ObserveProgress(request, slot.generated, now);
}

OutgoingMessages OwnedCell::OnRoster(const std::vector<RosterMember>& members,
                                     SteadyTime now) {
  members_ = IncarnationsOf(members);
  for (auto it = holders_.begin(); it != holders_.end();) {
    const auto next = std::next(it);
    Holder& holder = it->second;
    const auto member = members_.find(holder.router);
    if (member != members_.end() && holder.incarnation == Incarnation())
      holder.incarnation = member->second;
    if (member == members_.end() || member->second != holder.incarnation)
      Free(it, kCancelledOutcome, now);
    it = next;
  }
  std::erase_if(reports_missing_, [this](const InstanceId& instance) {
    return !members_.contains(instance);
  });
  OutgoingMessages out;
  Decide(now, out);
  return out;
}

OutgoingMessages OwnedCell::Tick(SteadyTime now) {
  OutgoingMessages out;
  Decide(now, out);
  RequestReports(now, out);
  ConfirmSlots(now, out);
  return out;
}

void OwnedCell::RequestReports(SteadyTime now, OutgoingMessages& out) {
  if (!collecting_ || now < next_report_request_)
    return;
  next_report_request_ = now + kReportRequestInterval;
  for (const InstanceId& instance : reports_missing_)
    out.push_back(
        {instance, CellReportRequestMessage{cell_, self_incarnation_}});
}

void OwnedCell::EndCollection(SteadyTime now) {
  if (!reports_missing_.empty() && now < collecting_until_)
    return;
  collecting_ = false;
  if (!reports_missing_.empty()) {
    Log(peer_events::kCellReportsMissing,
        {{"cell", cell_.value()},
         {"missing", std::to_string(reports_missing_.size())}});
  }
}

void OwnedCell::Decide(SteadyTime now, OutgoingMessages& out) {
  if (collecting_)
    EndCollection(now);
  if (collecting_)
    return;
  for (const SlotDecision& decision : scheduler_.Decide(now)) {
    const auto found = holders_.find(decision.request);
    if (found == holders_.end()) {
      scheduler_.Finish(decision.request, kCancelledOutcome, now);
      continue;
    }
    Holder& holder = found->second;
    if (decision.backend) {
      holder.backend = decision.backend;
      holder.confirmed_at = now;
      out.push_back(GrantOf(decision.request, holder));
      continue;
    }
    out.push_back(
        {holder.router,
         SlotRefusalMessage{cell_, holder.attempt, decision.request, false,
                            decision.reason, decision.retry_after}});
    holders_.erase(found);
  }
}

void OwnedCell::ConfirmSlots(SteadyTime now, OutgoingMessages& out) {
  for (auto it = holders_.begin(); it != holders_.end();) {
    const auto next = std::next(it);
    Holder& holder = it->second;
    if (holder.backend && now >= holder.confirmed_at + kSlotConfirmInterval) {
      holder.confirmed_at = now;
      if (++holder.unanswered_confirmations > kSlotConfirmTries) {
        Free(it, kCancelledOutcome, now);
      } else {
        out.push_back(GrantOf(it->first, holder));
      }
    }
    it = next;
  }
}

OutgoingMessage OwnedCell::GrantOf(const RequestId& request,
                                   const Holder& holder) const {
  return {holder.router,
          SlotGrantMessage{cell_, holder.attempt, request, *holder.backend}};
}

}  // namespace bamboomount
