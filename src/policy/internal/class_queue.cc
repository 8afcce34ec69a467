#include "policy/internal/class_queue.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace bamboomount {
namespace {

// Keeps the number of rounds finite for customers without a share.
constexpr double kMinShare = 1e-3;

}  // namespace

void ClassQueue::Push(QueuedRequest queued,
                      const CustomerId& customer,
                      double share) {
  const auto flow = FindOrAddFlow(customer, share);
  quantum_ = std::max(quantum_, queued.cost);
  AddWork(*flow, queued.cost);
  const RequestId id = queued.request.request;
  flow->requests.push_back(std::move(queued));
  location_by_request_.emplace(id,
                               Location{flow, std::prev(flow->requests.end())});
}

QueuedRequest ClassQueue::Pop() {
  std::size_t turns_without_grant = 0;
  while (true) {
    Flow& flow = flows_.front();
    if (!turn_started_) {
      flow.deficit += QuantumOf(flow);
      turn_started_ = true;
    }
    if (flow.deficit >= flow.requests.front().cost)
      break;
    StartNextTurn();
    if (++turns_without_grant < flows_.size())
      continue;
    SkipRoundsWithoutGrant();
    turns_without_grant = 0;
  }
  Flow& flow = flows_.front();
  flow.deficit -= flow.requests.front().cost;
  return RemoveAt({flows_.begin(), flow.requests.begin()});
}

void ClassQueue::Restore(QueuedRequest queued,
                         const CustomerId& customer,
                         double share) {
  const auto flow = FindOrAddFlow(customer, share);
  flow->deficit += queued.cost;
  AddWork(*flow, queued.cost);
  const RequestId id = queued.request.request;
  flow->requests.push_front(std::move(queued));
  location_by_request_.emplace(id, Location{flow, flow->requests.begin()});
}

std::optional<QueuedRequest> ClassQueue::Remove(const RequestId& request) {
  const auto found = location_by_request_.find(request);
  if (found == location_by_request_.end())
    return std::nullopt;
  return RemoveAt(found->second);
}

QueuedRequest ClassQueue::RemoveNewestOfHeaviestCustomer() {
  const auto flow = flow_by_customer_.at(customers_by_work_.rbegin()->second);
  return RemoveAt({flow, std::prev(flow->requests.end())});
}

void ClassQueue::Charge(const CustomerId& customer, double tokens) {
  const auto found = flow_by_customer_.find(customer);
  if (found != flow_by_customer_.end())
    found->second->deficit -= tokens;
}

void ClassQueue::AddGrantedWork(const CustomerId& customer, double tokens) {
  double& granted = granted_work_[customer];
  granted += tokens;
  // Sums of estimates leave rounding errors below one token.
  if (granted < 1)
    granted_work_.erase(customer);
  const auto found = flow_by_customer_.find(customer);
  if (found != flow_by_customer_.end())
    AddWork(*found->second, tokens);
}

void ClassQueue::ForEach(
    const std::function<void(const QueuedRequest&)>& visit) const {
  for (const Flow& flow : flows_) {
    for (const QueuedRequest& queued : flow.requests)
      visit(queued);
  }
}

ClassQueue::FlowList::iterator ClassQueue::FindOrAddFlow(
    const CustomerId& customer,
    double share) {
  const auto found = flow_by_customer_.find(customer);
  if (found != flow_by_customer_.end())
    return found->second;
  share = std::max(share, kMinShare);
  const auto granted = granted_work_.find(customer);
  const double work =
      granted == granted_work_.end() ? 0 : granted->second / share;
  flows_.push_back({customer, share, 0, work, {}});
  const auto flow = std::prev(flows_.end());
  flow_by_customer_.emplace(customer, flow);
  customers_by_work_.emplace(work, customer);
  return flow;
}

void ClassQueue::AddWork(Flow& flow, double cost) {
  customers_by_work_.erase({flow.work, flow.customer});
  flow.work += cost / flow.share;
  customers_by_work_.emplace(flow.work, flow.customer);
}

QueuedRequest ClassQueue::RemoveAt(const Location& location) {
  const auto flow = location.flow;
  QueuedRequest taken = std::move(*location.request);
  flow->requests.erase(location.request);
  location_by_request_.erase(taken.request.request);
  AddWork(*flow, -taken.cost);
  if (!flow->requests.empty())
    return taken;
  if (flow == flows_.begin())
    turn_started_ = false;
  customers_by_work_.erase({flow->work, flow->customer});
  flow_by_customer_.erase(flow->customer);
  flows_.erase(flow);
  return taken;
}

void ClassQueue::StartNextTurn() {
  flows_.splice(flows_.end(), flows_, flows_.begin());
  turn_started_ = false;
}

void ClassQueue::SkipRoundsWithoutGrant() {
  double rounds = std::numeric_limits<double>::max();
  for (const Flow& flow : flows_) {
    const double missing = flow.requests.front().cost - flow.deficit;
    rounds = std::min(rounds, std::ceil(missing / QuantumOf(flow)));
  }
  for (Flow& flow : flows_)
    flow.deficit += std::max(0.0, rounds - 1) * QuantumOf(flow);
}

}  // namespace bamboomount
