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

// All waiting requests of a cell. Tiers are served in strict order, except that
// one grant in every `starvation_stride` goes to the class that has waited
// longest without a grant. Not thread-safe.
class WaitingQueue {
 public:
  using ClassKey = std::pair<Tier, ClassId>;

  WaitingQueue(const QueueDiscipline& discipline, const CellOptions& options);

  void Push(QueuedRequest queued);
  // Removes and returns the next request to grant. Requires !empty(). The
  // caller must then confirm the grant with CommitGrant, refuse the request, or
  // put it back with Restore.
  QueuedRequest Pop();
  // As Pop, but takes the next request of the lowest tier that waits. Grants of
  // these requests are not counted with CommitGrant.
  QueuedRequest PopLowestTier();
  // Counts a grant towards the next guaranteed grant.
  void CommitGrant(const SlotRequest& request);
  void Restore(QueuedRequest queued);
  // Returns nullopt if the request does not wait.
  std::optional<QueuedRequest> Remove(const RequestId& request);
  // Removes the newest request of the heaviest customer (see ClassQueue) of one
  // class: the lowest tier's class below the overloaded one that has more
  // waiting requests than the shed floor, else the overloaded class itself,
  // which must have waiting requests.
  QueuedRequest RemoveForShedding(const ClassKey& overloaded);
  // See ClassQueue::Charge.
  void Charge(const SlotRequest& request, double tokens);
  // See ClassQueue::AddGrantedWork.
  void AddGrantedWork(const SlotRequest& request, double tokens);

  bool empty() const { return class_by_request_.empty(); }
  int size() const { return static_cast<int>(class_by_request_.size()); }
  bool Contains(const RequestId& request) const {
    return class_by_request_.contains(request);
  }
  // Number and settings of the waiting requests of one configured class.
  struct ClassCount {
    ClassId class_id;
    Tier tier;
    int queue_limit = 0;
    Millis first_token_target{0};
    int waiting = 0;
  };
  // Ordered by tier, the highest first.
  const std::map<ClassKey, ClassCount>& counts() const { return counts_; }
  void ForEach(const std::function<void(const QueuedRequest&)>& visit) const;

 private:
  struct ClassState {
    ClassQueue queue;
    // Sequence number, renewed when the class starts to wait and with each of
    // its grants. The waiting class with the smallest one has waited longest.
    std::uint64_t turn = 0;
  };
  using Classes = std::map<ClassKey, ClassState>;

  // The queue of a configured class: the discipline may merge several classes.
  ClassKey KeyOf(const ClassKey& configured) const;
  ClassKey KeyOf(const SlotRequest& request) const {
    return KeyOf(ClassKey{request.tier, request.class_id});
  }
  CustomerId CustomerOf(const SlotRequest& request) const;
  double ShareOf(const SlotRequest& request) const;
  ClassState& StateOf(const SlotRequest& request);
  // The waiting classes of the highest waiting tier take turns.
  Classes::iterator NextClassOfHighestTier();
  Classes::iterator LongestWaitingClass();
  Classes::iterator LowestTierClass();
  // Among the classes below `tier` that have more waiting requests than the
  // shed floor: in the lowest tier, the one with the heaviest customer.
  Classes::iterator LowestSheddableClass(Tier tier);
  // Keep class_by_request_ and counts_ in step with the queues.
  QueuedRequest RemoveFromIndex(QueuedRequest queued);
  QueuedRequest PopFromClass(Classes::iterator found);
  void AddToIndex(const SlotRequest& request);

  const QueueDiscipline& discipline_;
  const int starvation_stride_;
  // Waiting requests of each class that are not shed in favour of higher tiers.
  const int shed_floor_per_class_;
  Classes classes_;
  std::unordered_map<RequestId, ClassKey> class_by_request_;
  std::map<ClassKey, ClassCount> counts_;
  int grants_since_stride_ = 0;
  std::uint64_t next_turn_ = 1;
};

}  // namespace bamboomount

#endif  // POLICY_INTERNAL_WAITING_QUEUE_H_
