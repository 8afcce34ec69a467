#ifndef PEER_OWNED_CELL_H_
#define PEER_OWNED_CELL_H_

#include <map>
#include <set>
#include <unordered_map>
#include <vector>

#include "peer/cell_map.h"
#include "peer/messages.h"
#include "peer/roster.h"

namespace bamboomount {

struct OutgoingMessage {
  InstanceId to;
  PeerMessage message;
};
using OutgoingMessages = std::vector<OutgoingMessage>;

// Maximum time that a new owner waits for the reports of the other routers
// before it grants slots.
inline constexpr Millis kReportCollectionTimeout{300};
// Interval at which missing reports are requested.
inline constexpr Millis kReportRequestInterval{75};
// The grant of a slot is sent again if no message confirmed its use for this
// time. The router responds with progress, or with a release if it does not
// know the slot, which recovers slots whose release was lost.
inline constexpr Millis kSlotConfirmInterval{3000};
// A slot is freed after this number of repeated grants without a response.
inline constexpr int kMaxSlotConfirmations = 5;

// State of one cell at its owner: which router holds or waits for which slot.
// The caller passes in the time, holds a lock, and sends the messages that a
// call returns. Not thread-safe.
class OwnedCell {
 public:
  // No slot is granted before all `members` have reported or
  // kReportCollectionTimeout has passed.
  OwnedCell(const Cell& cell,
            Incarnation self_incarnation,
            const std::vector<RosterMember>& members,
            SteadyTime now);

  void SetBackends(const std::vector<CellBackend>& backends, SteadyTime now);
  void MarkLeaving(const BackendId& backend, SteadyTime now);
  void ObserveLoad(const BackendId& backend,
                   const LoadReport& report,
                   SteadyTime now);

  OutgoingMessages OnRequest(const InstanceId& from,
                             const SlotRequestMessage& message,
                             SteadyTime now);
  OutgoingMessages OnCancel(const InstanceId& from,
                            const SlotCancelMessage& message,
                            SteadyTime now);
  OutgoingMessages OnRelease(const InstanceId& from,
                             const SlotReleaseMessage& message,
                             SteadyTime now);
  void OnProgress(const InstanceId& from,
                  const SlotProgress& progress,
                  SteadyTime now);
  OutgoingMessages OnReport(const InstanceId& from,
                            const CellReportMessage& message,
                            SteadyTime now);
  // Removes the requests, and frees the slots, of routers that left the roster
  // or were restarted.
  OutgoingMessages OnRoster(const std::vector<RosterMember>& members,
                            SteadyTime now);
  OutgoingMessages Tick(SteadyTime now);

  // Number of requests that wait for a slot, and that hold one.
  int waiting() const { return scheduler_.waiting(); }
  int running() const { return scheduler_.running(); }
  // Whether the owner still waits for reports and grants nothing.
  bool collecting_reports() const { return collecting_reports_; }

 private:
  // A request of a router that waits for or holds a slot of this cell.
  struct CellRequest {
    InstanceId router;
    // Incarnation of `router`; 0 while `router` is missing from this router's
    // roster.
    Incarnation incarnation;
    SlotAttempt attempt;
    // Set once a slot is granted.
    std::optional<BackendId> backend;
    SteadyTime confirmed_at{};
    int unanswered_confirmations = 0;
  };
  using CellRequestMap = std::unordered_map<RequestId, CellRequest>;

  // Removes an earlier attempt of the same request. Returns false if `attempt`
  // is outdated or the request belongs to another router.
  bool SupersedeOlderAttempt(const InstanceId& from,
                             const RequestId& request,
                             SlotAttempt attempt,
                             SteadyTime now);
  CellRequest* FindCellRequest(const InstanceId& from,
                               const RequestId& request,
                               SlotAttempt attempt);
  CellRequest MakeCellRequest(const InstanceId& router,
                              SlotAttempt attempt) const;
  // Frees the slot of a request that holds one, or takes it out of the queue.
  void RemoveCellRequest(CellRequestMap::iterator cell_request,
                         const SlotOutcome& outcome,
                         SteadyTime now);
  void AdoptRunningSlot(const InstanceId& from,
                        const RunningSlot& slot,
                        SteadyTime now);
  void Enqueue(const InstanceId& from,
               SlotAttempt attempt,
               const SlotRequest& request,
               SteadyTime now,
               OutgoingMessages& out);
  void EndCollectionIfDue(SteadyTime now);
  void RequestMissingReports(SteadyTime now, OutgoingMessages& out);
  void Decide(SteadyTime now, OutgoingMessages& out);
  void SendSlotConfirmations(SteadyTime now, OutgoingMessages& out);
  OutgoingMessage MakeGrant(const RequestId& request,
                            const CellRequest& cell_request) const;

  const CellId cell_;
  const Incarnation self_incarnation_;
  CellScheduler scheduler_;
  CellRequestMap cell_requests_;
  std::map<InstanceId, Incarnation> members_;
  bool collecting_reports_ = true;
  SteadyTime collection_deadline_;
  SteadyTime next_report_request_;
  std::set<InstanceId> missing_reports_;
};

}  // namespace bamboomount

#endif  // PEER_OWNED_CELL_H_
