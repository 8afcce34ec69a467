#ifndef POLICY_INTERNAL_WAITING_QUEUE_H_
#define POLICY_INTERNAL_WAITING_QUEUE_H_

#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

#include "policy/cell_options.h"
#include "policy/internal/class_queue.h"
#include "policy/queue_discipline.h"

namespace bamboomount {

// All waiting requests of a cell: tiers in strict order, with one grant in
// every `starvation_stride` for the class that waited longest without one.
class WaitingQueue {
 public:
  using ClassKey = std::pair<Tier, ClassId>;

  WaitingQueue(const QueueDiscipline& discipline, const CellOptions& options);

  void Push(QueuedRequest queued);
  // The next request to grant. Requires !empty(). The caller reports the grant
  // with CommitGrant or returns the request with Restore.
  QueuedRequest Pop();
  // The next request of the lowest waiting tier; as Pop.
  QueuedRequest PopLowestTier();
  void CommitGrant(const SlotRequest& request);
  void Restore(QueuedRequest queued);
  std::optional<QueuedRequest> Remove(const RequestId& request);
  // Removes the newest request of the customer with the most queued work:
  // from the lowest tier below the overloaded class that has requests beyond
  // the kept turns, else from the overloaded class. Requires that it waits.
  QueuedRequest RemoveForShedding(const ClassKey& overloaded);
  void Charge(const SlotRequest& request, double tokens);
  // See ClassQueue.
  void AddGrantedWork(const SlotRequest& request, double tokens);

  bool empty() const { return class_by_request_.empty(); }
  int size() const { return static_cast<int>(class_by_request_.size()); }
  bool Contains(const RequestId& request) const {
    return class_by_request_.contains(request);
  }
  // Waiting requests by the configured class, in order of tiers.
  struct ClassCount {
    ClassId class_id;
    Tier tier;
    int queue_limit = 0;
    Millis first_token_target{0};
    int waiting = 0;
  };
  const std::map<ClassKey, ClassCount>& counts() const { return counts_; }
  void ForEach(const std::function<void(const QueuedRequest&)>& visit) const;

 private:
  struct ClassState {
    ClassQueue queue;
    // Grows when the class starts to wait and with each of its grants; the
    // smallest of the waiting classes has waited longest.
    std::uint64_t turn = 0;
  };
  using Classes = std::map<ClassKey, ClassState>;

  ClassKey KeyOf(const ClassKey& configured) const;
  ClassKey KeyOf(const SlotRequest& request) const {
    return KeyOf(ClassKey{request.tier, request.class_id});
  }
  CustomerId CustomerOf(const SlotRequest& request) const;
  double ShareOf(const SlotRequest& request) const;
  ClassState& StateOf(const SlotRequest& request);
  Classes::iterator NextClassOfHighestTier();
  Classes::iterator LongestWaitingClass();
  Classes::iterator LowestTierClass();
  // Of the classes below `tier` with more than the kept turns: in the lowest
  // tier, the one with the heaviest customer.
  Classes::iterator LowestSheddableClass(Tier tier);
  QueuedRequest RemoveFromIndex(QueuedRequest queued);
  QueuedRequest PopFromClass(Classes::iterator found);
  void AddToIndex(const SlotRequest& request);

  const QueueDiscipline& discipline_;
  const int starvation_stride_;
  // Waiting requests of a class that load of higher tiers does not shed.
  const int shed_floor_per_class_;
  Classes classes_;
  std::unordered_map<RequestId, ClassKey> class_by_request_;
  std::map<ClassKey, ClassCount> counts_;
  int grants_since_stride_ = 0;
  std::uint64_t next_turn_ = 1;
};

}  // namespace bamboomount

#endif  // POLICY_INTERNAL_WAITING_QUEUE_H_
