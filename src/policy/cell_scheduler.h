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

// Grant or refusal of a slot request.
struct SlotDecision {
  RequestId request;
  // The granted backend server; empty if the request is refused.
  std::optional<BackendId> backend;
  // Reason of a refusal: kOverloaded (queue limit exceeded),
  // kDeadlineUnreachable (predicted to miss its first-token target) or
  // kNoBackend. Meaningless for a grant.
  ErrorCode reason = ErrorCode::kOverloaded;
  // For a refusal: estimated time until a retry would be served.
  Millis retry_after{0};
};

// Admission queue and slot allocation of one cell. Not thread-safe: the owner
// of the cell must hold a lock around each call.
class CellScheduler {
 public:
  // Throws std::invalid_argument if `options` names an unknown placement
  // strategy or queue discipline.
  explicit CellScheduler(const CellOptions& options = {});
  ~CellScheduler();
  CellScheduler(const CellScheduler&) = delete;
  CellScheduler& operator=(const CellScheduler&) = delete;

  // Replaces the set of backend servers. Requests that run on a removed backend
  // server keep their slots until Finish.
  void SetBackends(const std::vector<CellBackend>& backends, SteadyTime now);

  // Adds a waiting request. Does nothing if a request with this id already
  // waits or runs.
  void Enqueue(const SlotRequest& request, SteadyTime now);
  // Records a running request that a previous owner of the cell granted on
  // `backend`, and removes it from the queue. Does nothing if it already runs.
  void Adopt(const SlotRequest& request,
             const BackendId& backend,
             SteadyTime now);
  // Removes a waiting request. Does nothing if it does not wait.
  void Cancel(const RequestId& request, SteadyTime now);
  // Releases the slot of a running request and updates the estimates and the
  // backend server's health from `outcome`. Does nothing for an unknown id.
  void Finish(const RequestId& request,
              const SlotOutcome& outcome,
              SteadyTime now);

  // Applies a load report; ignored for an unknown backend server.
  void ObserveLoad(const BackendId& backend,
                   const LoadReport& report,
                   SteadyTime now);
  // Reports the progress of a running request; `generated` is the total of its
  // output tokens so far.
  void ObserveProgress(const RequestId& request,
                       Tokens generated,
                       SteadyTime now);
  // Stops new grants on this backend server until SetBackends removes it.
  void MarkLeaving(const BackendId& backend, SteadyTime now);

  // Returns the grants and refusals that are due at `now`. A decided request
  // no longer waits, so it is not returned again.
  std::vector<SlotDecision> Decide(SteadyTime now);

  int waiting() const;
  int running() const { return static_cast<int>(running_.size()); }
  // Snapshot of all backend servers, for status and tests.
  std::vector<BackendState> BackendStates() const;

 private:
  struct RunningRequest {
    SlotRequest request;
    BackendId backend;
    // Empty if a previous owner granted it.
    std::optional<SteadyTime> grant_time;
    // Estimated prompt and output tokens; 0 if a previous owner granted it.
    double cost = 0;
    OutputEstimate estimate;
    // Requests of the cell that ran on the backend server at the grant.
    int load_at_grant = 0;
    // Output tokens and time of the last progress report.
    Tokens generated;
    SteadyTime progress_time;
  };

  void GrantProbes(SteadyTime now);
  void GrantWaiting(SteadyTime now);
  void Grant(const QueuedRequest& queued, BackendState& state, SteadyTime now);
  // While no backend server is healthy, refuses waiting requests that have
  // missed their target or exclude every backend server in service.
  void RefuseWithoutBackend(SteadyTime now);
  // Sheds one request for each arrival that still waits while a class of its
  // tier or a higher one is over its limit.
  void ShedOverLimit();
  // Sheds requests that are predicted to miss their first-token target.
  void ShedPredictedMisses();
  void Refuse(const RequestId& request, ErrorCode reason, Millis retry_after);
  // Returns a class of this tier or a higher one whose waiting requests exceed
  // its queue limit plus the unused limits of the tiers below, if there is one.
  std::optional<std::pair<Tier, ClassId>> FindClassOverLimit(Tier tier) const;
  void ObserveOutcome(const RunningRequest& run,
                      const SlotOutcome& outcome,
                      SteadyTime now);
  // Charges the customer the difference between actual and estimated output
  // tokens.
  void ChargeEstimateError(const RunningRequest& run, double actual_tokens);

  const QueueDiscipline& discipline_;
  std::unique_ptr<PlacementStrategy> placement_;
  std::unique_ptr<BackendTable> backends_;
  std::unique_ptr<WaitingQueue> waiting_;
  std::unique_ptr<ServiceTimes> service_times_;
  std::unique_ptr<StragglerDetector> stragglers_;
  OutputEstimator outputs_;
  std::unordered_map<RequestId, RunningRequest> running_;
  // Requests enqueued since the last Decide.
  std::vector<SlotRequest> arrivals_;
  std::vector<SlotDecision> decisions_;
};

}  // namespace bamboomount

#endif  // POLICY_CELL_SCHEDULER_H_
