#ifndef POLICY_CELL_SCHEDULER_H_
#define POLICY_CELL_SCHEDULER_H_

#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "policy/cell_backend.h"
#include "policy/cell_options.h"
#include "policy/load_report.h"
#include "policy/output_estimator.h"
#include "policy/placement_strategy.h"
#include "policy/slot_request.h"

namespace bamboomount {

class BackendTable;
class ServiceTimes;
class StragglerDetector;
class WaitingQueue;
struct QueueDiscipline;
struct QueuedRequest;

// The scheduler's answer to a slot request.
struct SlotDecision {
  RequestId request;
  // The granted backend server; empty if the request is shed.
  std::optional<BackendId> backend;
  // Why the request is shed: kOverloaded (queue full), kDeadlineUnreachable
  // (predicted to miss its first-token target) or kNoBackend.
  ErrorCode reason = ErrorCode::kOverloaded;
  // Estimated time until a repeat would be served.
  Millis retry_after{0};
};

// Queue and slots of one cell. Not thread-safe; the owner of the cell holds a
// lock.
class CellScheduler {
 public:
  // Throws std::invalid_argument if `options` names an unknown strategy.
  explicit CellScheduler(const CellOptions& options = {});
  ~CellScheduler();
  CellScheduler(const CellScheduler&) = delete;
  CellScheduler& operator=(const CellScheduler&) = delete;

  // Replaces the set of backend servers. Running requests on removed ones keep
  // their slots until Finish.
  void SetBackends(const std::vector<CellBackend>& backends, SteadyTime now);

  // Adds a waiting request. A request id that is known already is ignored.
  void Enqueue(const SlotRequest& request, SteadyTime now);
  // Enters a request that another owner granted before. It no longer waits.
  void Adopt(const SlotRequest& request,
             const BackendId& backend,
             SteadyTime now);
  // Removes a waiting request.
  void Cancel(const RequestId& request, SteadyTime now);
  // Frees the slot of a granted request.
  void Finish(const RequestId& request,
              const SlotOutcome& outcome,
              SteadyTime now);

  void ObserveLoad(const BackendId& backend,
                   const LoadReport& report,
                   SteadyTime now);
  // `generated` counts all tokens of the request so far.
  void ObserveProgress(const RequestId& request,
                       Tokens generated,
                       SteadyTime now);
  // No new grants on this backend server.
  void MarkLeaving(const BackendId& backend, SteadyTime now);

  // Grants and sheds that are due at `now`.
  std::vector<SlotDecision> Decide(SteadyTime now);

  int waiting() const;
  int running() const { return static_cast<int>(running_.size()); }
  // The cell's view of its backend servers, for status and tests.
  std::vector<BackendState> BackendStates() const;

 private:
  struct RunningRequest {
    SlotRequest request;
    BackendId backend;
    // Empty if another owner granted it.
    std::optional<SteadyTime> grant_time;
    // Estimated work, in tokens; 0 if another owner granted it.
    double cost = 0;
    OutputEstimate estimate;
    // Requests on the backend server at the time of the grant.
    int load_at_grant = 0;
    Tokens generated;
    SteadyTime progress_time;
  };

  void GrantProbes(SteadyTime now);
  void GrantWaiting(SteadyTime now);
  void Grant(const QueuedRequest& queued, BackendState& state, SteadyTime now);
  void RefuseWithoutBackend(SteadyTime now);
  void ShedOverLimit();
  void ShedPredictedMisses();
  void Refuse(const RequestId& request, ErrorCode reason, Millis retry_after);
  // A class of this tier or a higher one that has more requests waiting than
  // its own limit and the room that the tiers below leave.
  std::optional<std::pair<Tier, ClassId>> FindClassOverLimit(Tier tier) const;
  void ObserveOutcome(const RunningRequest& run,
                      const SlotOutcome& outcome,
                      SteadyTime now);
  void ChargeEstimateError(const RunningRequest& run, double actual_tokens);

  const QueueDiscipline& discipline_;
  std::unique_ptr<PlacementStrategy> placement_;
  std::unique_ptr<BackendTable> backends_;
  std::unique_ptr<WaitingQueue> waiting_;
  std::unique_ptr<ServiceTimes> service_times_;
  std::unique_ptr<StragglerDetector> stragglers_;
  OutputEstimator outputs_;
  std::unordered_map<RequestId, RunningRequest> running_;
  // Requests that arrived since the last Decide.
  std::vector<SlotRequest> arrivals_;
  std::vector<SlotDecision> decisions_;
};

}  // namespace bamboomount

#endif  // POLICY_CELL_SCHEDULER_H_
