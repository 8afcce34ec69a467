#ifndef POLICY_CELL_DRIVER_H_
#define POLICY_CELL_DRIVER_H_

#include <map>
#include <ostream>
#include <set>
#include <vector>

#include "policy/policy.h"

namespace bamboomount {

// One step of a random sequence of calls. The meaning of the parameters a and b
// depends on the kind.
struct CellEvent {
  enum class Kind {
    kEnqueue,
    kCancel,
    kFinish,
    kFail,
    kProgress,
    kLoad,
    kLeave,
    kAdopt,
    kToggleBackend,
    kAdvance,
  };
  Kind kind = Kind::kAdvance;
  int a = 0;
  int b = 0;
};
std::ostream& operator<<(std::ostream& out, const CellEvent& event);

// Applies events to a CellScheduler and to a reference model of its waiting and
// running requests. Decide checks each decision against the model and throws
// std::logic_error on a violation.
class CellDriver {
 public:
  // Each class of a lower tier may have up to `shed_floor_per_class` waiting
  // requests while a higher tier is shed.
  CellDriver(const CellOptions& options, int shed_floor_per_class);

  void Apply(const CellEvent& event);
  void Decide();
  // Finishes running requests and advances the time until nothing waits.
  // Returns false if some request got no decision within 500 rounds.
  bool Drain();

  // Finishes enough requests of every class for the scheduler's predictions.
  void WarmUp();

  int shed_count() const { return shed_count_; }

 private:
  void Enqueue(int a, int b);
  void Finish(int index, SlotEnd end);
  void MarkAlive(const BackendId& backend);
  void CheckDecision(const SlotDecision& decision);
  void CheckGrant(const SlotRequest& request, const BackendId& backend);
  void CheckShed(const SlotRequest& shed) const;
  void CheckCounts() const;
  RequestId NthRunning(int index) const;

  CellScheduler cell_;
  const int shed_floor_per_class_;
  SteadyTime now_{std::chrono::hours(1)};
  std::map<BackendId, int> slots_;
  std::map<RequestId, SlotRequest> waiting_;
  std::map<RequestId, BackendId> running_;
  std::map<RequestId, SteadyTime> granted_at_;
  struct Failure {
    SteadyTime first;
    // Whether the scheduler must have marked the backend server as failed.
    bool must_be_counted = false;
  };
  std::map<BackendId, Failure> failed_;
  // Time of the last success or progress on each backend server. The scheduler
  // may ignore failures of requests that were granted before it.
  std::map<BackendId, SteadyTime> last_alive_;
  std::set<BackendId> leaving_;
  std::vector<SlotRequest> shed_requests_;
  int next_request_ = 0;
  int shed_count_ = 0;
};

}  // namespace bamboomount

#endif  // POLICY_CELL_DRIVER_H_
