#ifndef POLICY_CELL_DRIVER_H_
#define POLICY_CELL_DRIVER_H_

#include <map>
#include <ostream>
#include <set>
#include <vector>

#include "policy/policy.h"

namespace bamboomount {

// One step of a random history of a cell; the meaning of a and b depends on
// the kind.
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

// Applies events to a scheduler and keeps its own account of what waits and
// runs. Every Decide checks the decisions against it and throws
// std::logic_error on a violation.
class CellDriver {
 public:
  // A lower tier's class may keep `shed_floor_per_class` waiting requests while
  // a higher tier is shed.
  CellDriver(const CellOptions& options, int shed_floor_per_class);

  void Apply(const CellEvent& event);
  void Decide();
  // Lets time pass and requests finish until nothing waits. Returns false if
  // some request gets no decision.
  bool Drain();

  // Lets every class finish enough requests for predictions.
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
    // Whether the scheduler must have counted one of the failures.
    bool must_be_counted = false;
  };
  std::map<BackendId, Failure> failed_;
  // Later signs of life; failures of requests granted before them describe the
  // past, and the scheduler may ignore them.
  std::map<BackendId, SteadyTime> last_alive_;
  std::set<BackendId> leaving_;
  std::vector<SlotRequest> shed_requests_;
  int next_request_ = 0;
  int shed_count_ = 0;
};

}  // namespace bamboomount

#endif  // POLICY_CELL_DRIVER_H_
