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
      collection_deadline_(now + kReportCollectionTimeout),
      next_report_request_(now) {
  scheduler_.SetBackends(cell.backends, now);
  for (const RosterMember& member : members)
    missing_reports_.insert(member.instance);
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
  if (!SupersedeOlderAttempt(from, request.request, attempt, now))
    return;
  const auto [found, added] =
      cell_requests_.emplace(request.request, MakeCellRequest(from, attempt));
  if (found->second.backend) {
    // The grant was lost.
    out.push_back(MakeGrant(request.request, found->second));
    return;
  }
  if (added)
    scheduler_.Enqueue(request, now);
  out.push_back({from, SlotAcceptedMessage{cell_, attempt, request.request}});
}

bool OwnedCell::SupersedeOlderAttempt(const InstanceId& from,
                                      const RequestId& request,
                                      SlotAttempt attempt,
                                      SteadyTime now) {
  const auto found = cell_requests_.find(request);
  if (found == cell_requests_.end())
    return true;
  if (found->second.router != from || found->second.attempt > attempt)
    return false;
  if (found->second.attempt < attempt)
    RemoveCellRequest(found, kCancelledOutcome, now);
  return true;
}

OwnedCell::CellRequest* OwnedCell::FindCellRequest(const InstanceId& from,
                                                   const RequestId& request,
                                                   SlotAttempt attempt) {
  const auto found = cell_requests_.find(request);
  if (found == cell_requests_.end() || found->second.router != from ||
      found->second.attempt != attempt) {
    return nullptr;
  }
  return &found->second;
}

OwnedCell::CellRequest OwnedCell::MakeCellRequest(const InstanceId& router,
                                                  SlotAttempt attempt) const {
  CellRequest cell_request;
  cell_request.router = router;
  cell_request.attempt = attempt;
  const auto member = members_.find(router);
  if (member != members_.end())
    cell_request.incarnation = member->second;
  return cell_request;
}

void OwnedCell::RemoveCellRequest(CellRequestMap::iterator cell_request,
                                  const SlotOutcome& outcome,
                                  SteadyTime now) {
  if (cell_request->second.backend) {
    scheduler_.Finish(cell_request->first, outcome, now);
  } else {
    scheduler_.Cancel(cell_request->first, now);
  }
  cell_requests_.erase(cell_request);
}

OutgoingMessages OwnedCell::OnCancel(const InstanceId& from,
                                     const SlotCancelMessage& message,
                                     SteadyTime now) {
  OutgoingMessages out;
  if (FindCellRequest(from, message.request, message.attempt) != nullptr)
    RemoveCellRequest(cell_requests_.find(message.request), kCancelledOutcome,
                      now);
  Decide(now, out);
  return out;
}

OutgoingMessages OwnedCell::OnRelease(const InstanceId& from,
                                      const SlotReleaseMessage& message,
                                      SteadyTime now) {
  OutgoingMessages out;
  if (FindCellRequest(from, message.request, message.attempt) != nullptr)
    RemoveCellRequest(cell_requests_.find(message.request), message.outcome,
                      now);
  Decide(now, out);
  return out;
}

void OwnedCell::OnProgress(const InstanceId& from,
                           const SlotProgress& progress,
                           SteadyTime now) {
  CellRequest* cell_request =
      FindCellRequest(from, progress.request, progress.attempt);
  if (cell_request == nullptr || !cell_request->backend)
    return;
  cell_request->confirmed_at = now;
  cell_request->unanswered_confirmations = 0;
  scheduler_.ObserveProgress(progress.request, progress.generated, now);
}

OutgoingMessages OwnedCell::OnReport(const InstanceId& from,
                                     const CellReportMessage& message,
                                     SteadyTime now) {
  OutgoingMessages out;
  if (message.owner != self_incarnation_)
    return out;
  for (const RunningSlot& slot : message.running)
    AdoptRunningSlot(from, slot, now);
  for (const WaitingSlot& slot : message.waiting)
    Enqueue(from, slot.attempt, slot.request, now, out);
  missing_reports_.erase(from);
  out.push_back({from, CellReportAcceptedMessage{cell_, self_incarnation_}});
  Decide(now, out);
  return out;
}

void OwnedCell::AdoptRunningSlot(const InstanceId& from,
                                 const RunningSlot& slot,
                                 SteadyTime now) {
  const RequestId& request = slot.request.request;
  if (!SupersedeOlderAttempt(from, request, slot.attempt, now))
    return;
  const auto found = cell_requests_.find(request);
  if (found != cell_requests_.end() && !found->second.backend) {
    // An earlier owner granted it meanwhile.
    RemoveCellRequest(found, kCancelledOutcome, now);
  }
  CellRequest& cell_request =
      cell_requests_.emplace(request, MakeCellRequest(from, slot.attempt))
          .first->second;
  cell_request.confirmed_at = now;
  cell_request.unanswered_confirmations = 0;
  if (!cell_request.backend)
    scheduler_.Adopt(slot.request, slot.backend, now);
  cell_request.backend = slot.backend;
  scheduler_.ObserveProgress(request, slot.generated, now);
}

OutgoingMessages OwnedCell::OnRoster(const std::vector<RosterMember>& members,
                                     SteadyTime now) {
  members_ = IncarnationsOf(members);
  for (auto it = cell_requests_.begin(); it != cell_requests_.end();) {
    const auto next = std::next(it);
    CellRequest& cell_request = it->second;
    const auto member = members_.find(cell_request.router);
    if (member != members_.end() && cell_request.incarnation == Incarnation())
      cell_request.incarnation = member->second;
    if (member == members_.end() || member->second != cell_request.incarnation)
      RemoveCellRequest(it, kCancelledOutcome, now);
    it = next;
  }
  std::erase_if(missing_reports_, [this](const InstanceId& instance) {
    return !members_.contains(instance);
  });
  OutgoingMessages out;
  Decide(now, out);
  return out;
}

OutgoingMessages OwnedCell::Tick(SteadyTime now) {
  OutgoingMessages out;
  Decide(now, out);
  RequestMissingReports(now, out);
  SendSlotConfirmations(now, out);
  return out;
}

void OwnedCell::RequestMissingReports(SteadyTime now, OutgoingMessages& out) {
  if (!collecting_reports_ || now < next_report_request_)
    return;
  next_report_request_ = now + kReportRequestInterval;
  for (const InstanceId& instance : missing_reports_)
    out.push_back(
        {instance, CellReportRequestMessage{cell_, self_incarnation_}});
}

void OwnedCell::EndCollectionIfDue(SteadyTime now) {
  if (!missing_reports_.empty() && now < collection_deadline_)
    return;
  collecting_reports_ = false;
  if (!missing_reports_.empty()) {
    Log(peer_events::kCellReportsMissing,
        {{"cell", cell_.value()},
         {"missing", std::to_string(missing_reports_.size())}});
  }
}

void OwnedCell::Decide(SteadyTime now, OutgoingMessages& out) {
  if (collecting_reports_)
    EndCollectionIfDue(now);
  if (collecting_reports_)
    return;
  for (const SlotDecision& decision : scheduler_.Decide(now)) {
    const auto found = cell_requests_.find(decision.request);
    if (found == cell_requests_.end()) {
      scheduler_.Finish(decision.request, kCancelledOutcome, now);
      continue;
    }
    CellRequest& cell_request = found->second;
    if (decision.backend) {
      cell_request.backend = decision.backend;
      cell_request.confirmed_at = now;
      out.push_back(MakeGrant(decision.request, cell_request));
      continue;
    }
    out.push_back(
        {cell_request.router,
         SlotRefusalMessage{cell_, cell_request.attempt, decision.request,
                            false, decision.reason, decision.retry_after}});
    cell_requests_.erase(found);
  }
}

void OwnedCell::SendSlotConfirmations(SteadyTime now, OutgoingMessages& out) {
  for (auto it = cell_requests_.begin(); it != cell_requests_.end();) {
    const auto next = std::next(it);
    CellRequest& cell_request = it->second;
    if (cell_request.backend &&
        now >= cell_request.confirmed_at + kSlotConfirmInterval) {
      cell_request.confirmed_at = now;
      if (++cell_request.unanswered_confirmations > kMaxSlotConfirmations) {
        RemoveCellRequest(it, kCancelledOutcome, now);
      } else {
        out.push_back(MakeGrant(it->first, cell_request));
      }
    }
    it = next;
  }
}

OutgoingMessage OwnedCell::MakeGrant(const RequestId& request,
                                     const CellRequest& cell_request) const {
  return {cell_request.router,
          SlotGrantMessage{cell_, cell_request.attempt, request,
                           *cell_request.backend}};
}

}  // namespace bamboomount
