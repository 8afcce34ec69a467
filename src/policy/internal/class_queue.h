#ifndef POLICY_INTERNAL_CLASS_QUEUE_H_
#define POLICY_INTERNAL_CLASS_QUEUE_H_

#include <functional>
#include <list>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

#include "policy/internal/queued_request.h"

namespace bamboomount {

// Waiting requests of one class: deficit round robin over customers, weighted
// by share, with cost in tokens.
class ClassQueue {
 public:
  void Push(QueuedRequest queued, const CustomerId& customer, double share);
  // The request whose turn it is. Requires !empty().
  QueuedRequest Pop();
  // Returns a request taken with Pop to the front of its customer.
  void Restore(QueuedRequest queued, const CustomerId& customer, double share);
  std::optional<QueuedRequest> Remove(const RequestId& request);
  // Removes the newest request of the customer with the most work by share,
  // queued and granted.
  QueuedRequest RemoveNewestOfHeaviestCustomer();
  // Charges a customer for work that its estimate did not cover; negative
  // amounts are credited. Has no effect on customers that do not wait.
  void Charge(const CustomerId& customer, double tokens);
  // Counts granted work of a customer that has not finished; negative amounts
  // when it has.
  void AddGrantedWork(const CustomerId& customer, double tokens);

  bool empty() const { return location_by_request_.empty(); }
  int size() const { return static_cast<int>(location_by_request_.size()); }
  bool Contains(const RequestId& request) const {
    return location_by_request_.contains(request);
  }
  // Work by share of the heaviest waiting customer, in tokens.
  double heaviest_customer_work() const {
    return customers_by_work_.empty() ? 0 : customers_by_work_.rbegin()->first;
  }
  void ForEach(const std::function<void(const QueuedRequest&)>& visit) const;

 private:
  struct Flow {
    CustomerId customer;
    double share = 1;
    double deficit = 0;
    // Queued and granted, in tokens by share.
    double work = 0;
    std::list<QueuedRequest> requests;
  };
  using FlowList = std::list<Flow>;
  struct Location {
    FlowList::iterator flow;
    std::list<QueuedRequest>::iterator request;
  };

  FlowList::iterator FindOrAddFlow(const CustomerId& customer, double share);
  void AddWork(Flow& flow, double cost);
  QueuedRequest RemoveAt(const Location& location);
  void StartNextTurn();
  // Credits every customer with as many rounds as the nearest one needs.
  void SkipRoundsWithoutGrant();
  double QuantumOf(const Flow& flow) const { return quantum_ * flow.share; }

  // The customer at the front has the turn.
  FlowList flows_;
  std::unordered_map<CustomerId, FlowList::iterator> flow_by_customer_;
  std::unordered_map<RequestId, Location> location_by_request_;
  std::set<std::pair<double, CustomerId>> customers_by_work_;
  // Of customers with granted requests, whether they wait or not.
  std::unordered_map<CustomerId, double> granted_work_;
  // The largest cost seen; smaller quanta need more rounds for each grant.
  double quantum_ = 1;
  bool turn_started_ = false;
};

}  // namespace bamboomount

#endif  // POLICY_INTERNAL_CLASS_QUEUE_H_
