#ifndef POLICY_CELL_SCHEDULER_H_
#define POLICY_CELL_SCHEDULER_H_

#include <list>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "base/base.h"
#include "policy/load_report.h"
#include "policy/slot_request.h"

namespace bamboomount {

// A backend server of the cell as the configuration describes it.
struct CellBackend {
  BackendId backend;
  ZoneId zone;
  bool cheap = false;
  int slots = 1;
};

// The scheduler's answer to a slot request.
struct SlotDecision {
  RequestId request;
  // The granted backend server; empty if the request is shed.
  std::optional<BackendId> backend;
  // Why the request is shed: kOverloaded, kDeadlineUnreachable or kNoBackend.
  ErrorCode reason = ErrorCode::kOverloaded;
  // Estimated time until a repeat would be served.
  Millis retry_after{0};
};

// Queue and slots of one cell. Not thread-safe; the owner of the cell holds a
// lock.
class CellScheduler {
 public:
  // Replaces the set of backend servers. Running requests on removed ones keep
  // their slots until Finish.
  void SetBackends(const std::vector<CellBackend>& backends, SteadyTime now);

  // Adds a waiting request. A request id that is known already is ignored.
  void Enqueue(const SlotRequest& request, SteadyTime now);
  // Enters a request that another owner granted before.
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

  int waiting() const { return static_cast<int>(waiting_.size()); }
  int running() const { return static_cast<int>(running_.size()); }

 private:
  struct BackendState {
    CellBackend backend;
    int running = 0;
    bool leaving = false;
  };
  struct Waiting {
    SlotRequest request;
    SteadyTime arrival;
  };
  struct Running {
    SlotRequest request;
    BackendId backend;
  };

  BackendState* ChooseBackend(const SlotRequest& request);
  std::list<Waiting>::iterator HighestTierOldest();

  std::map<BackendId, BackendState> backends_;
  std::list<Waiting> waiting_;
  std::unordered_map<RequestId, Running> running_;
};

}  // namespace bamboomount

#endif  // POLICY_CELL_SCHEDULER_H_
