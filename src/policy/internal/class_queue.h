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

// Waiting requests of one class, served by deficit round robin over customers,
// weighted by share. Costs are in tokens. Not thread-safe.
class ClassQueue {
 public:
  void Push(QueuedRequest queued, const CustomerId& customer, double share);
  // Removes and returns the next request. Requires !empty().
  QueuedRequest Pop();
  // Puts a request returned by Pop back at the front of its customer's queue
  // and refunds its cost.
  void Restore(QueuedRequest queued, const CustomerId& customer, double share);
  // Returns nullopt if the request does not wait.
  std::optional<QueuedRequest> Remove(const RequestId& request);
  // Removes the newest request of the heaviest customer: the one with the most
  // work, queued and granted, divided by its share. Requires !empty().
  QueuedRequest RemoveNewestOfHeaviestCustomer();
  // Charges a customer for tokens that the estimated cost did not cover; a
  // negative amount is a credit. Does nothing for customers without waiting
  // requests.
  void Charge(const CustomerId& customer, double tokens);
  // Adds to a customer's granted, unfinished work; negative when a request has
  // finished.
  void AddGrantedWork(const CustomerId& customer, double tokens);

  bool empty() const { return location_by_request_.empty(); }
  int size() const { return static_cast<int>(location_by_request_.size()); }
  bool Contains(const RequestId& request) const {
    return location_by_request_.contains(request);
  }
  // Work divided by share of the heaviest waiting customer, in tokens.
  double heaviest_customer_work() const {
    return customers_by_work_.empty() ? 0 : customers_by_work_.rbegin()->first;
  }
  void ForEach(const std::function<void(const QueuedRequest&)>& visit) const;

 private:
  struct Flow {
    CustomerId customer;
    double share = 1;
    // Tokens that it may still take in its turn; negative after a charge.
    double deficit = 0;
    // Queued and granted work divided by share, in tokens.
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
  // Credits every customer with the number of rounds after which the first of
  // them can be served.
  void SkipRoundsWithoutGrant();
  double QuantumOf(const Flow& flow) const { return quantum_ * flow.share; }

  // Customers with waiting requests; the one at the front has the turn.
  FlowList flows_;
  std::unordered_map<CustomerId, FlowList::iterator> flow_by_customer_;
  std::unordered_map<RequestId, Location> location_by_request_;
  std::set<std::pair<double, CustomerId>> customers_by_work_;
  // Granted, unfinished work in tokens, also of customers that do not wait.
  std::unordered_map<CustomerId, double> granted_work_;
  // Tokens per turn at share 1: the largest cost so far. A smaller quantum
  // would need more rounds per grant.
  double quantum_ = 1;
  // Whether the customer at the front has received its quantum.
  bool turn_started_ = false;
};

}  // namespace bamboomount

#endif  // POLICY_INTERNAL_CLASS_QUEUE_H_
