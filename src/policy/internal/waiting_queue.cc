#include "policy/internal/waiting_queue.h"

namespace bamboomount {

WaitingQueue::WaitingQueue(const QueueDiscipline& discipline,
                           const CellOptions& options)
    : discipline_(discipline),
      starvation_stride_(
          discipline.prevents_starvation ? options.starvation_stride : 0),
      shed_floor_per_class_(
          starvation_stride_ > 0 && options.protects_guaranteed_grant ? 1 : 0) {
}

void WaitingQueue::Push(QueuedRequest queued) {
  ClassState& state = StateOf(queued.request);
  if (state.queue.empty())
    state.turn = next_turn_++;
  AddToIndex(queued.request);
  class_by_request_.emplace(queued.request.request, KeyOf(queued.request));
  const CustomerId customer = CustomerOf(queued.request);
  const double share = ShareOf(queued.request);
  state.queue.Push(std::move(queued), customer, share);
}

QueuedRequest WaitingQueue::Pop() {
  const bool stride_due =
      starvation_stride_ > 0 && grants_since_stride_ + 1 >= starvation_stride_;
  return PopFromClass(stride_due ? LongestWaitingClass()
                                 : NextClassOfHighestTier());
}

QueuedRequest WaitingQueue::PopLowestTier() {
  return PopFromClass(LowestTierClass());
}

void WaitingQueue::CommitGrant(const SlotRequest& request) {
  StateOf(request).turn = next_turn_++;
  if (++grants_since_stride_ >= starvation_stride_)
    grants_since_stride_ = 0;
}

void WaitingQueue::Restore(QueuedRequest queued) {
  ClassState& state = StateOf(queued.request);
  AddToIndex(queued.request);
  class_by_request_.emplace(queued.request.request, KeyOf(queued.request));
  const CustomerId customer = CustomerOf(queued.request);
  const double share = ShareOf(queued.request);
  state.queue.Restore(std::move(queued), customer, share);
}

std::optional<QueuedRequest> WaitingQueue::Remove(const RequestId& request) {
  const auto found = class_by_request_.find(request);
  if (found == class_by_request_.end())
    return std::nullopt;
  return RemoveFromIndex(*classes_.at(found->second).queue.Remove(request));
}

QueuedRequest WaitingQueue::RemoveForShedding(const ClassKey& overloaded) {
  const ClassKey own = KeyOf(overloaded);
  auto victim = LowestSheddableClass(own.first);
  if (victim == classes_.end())
    victim = classes_.find(own);
  return RemoveFromIndex(victim->second.queue.RemoveNewestOfHeaviestCustomer());
}

void WaitingQueue::Charge(const SlotRequest& request, double tokens) {
  StateOf(request).queue.Charge(CustomerOf(request), tokens);
}

void WaitingQueue::AddGrantedWork(const SlotRequest& request, double tokens) {
  StateOf(request).queue.AddGrantedWork(CustomerOf(request), tokens);
}

void WaitingQueue::ForEach(
    const std::function<void(const QueuedRequest&)>& visit) const {
  for (const auto& [key, state] : classes_)
    state.queue.ForEach(visit);
}

WaitingQueue::ClassKey WaitingQueue::KeyOf(const ClassKey& configured) const {
  if (!discipline_.by_tier)
    return {Tier(0), ClassId()};
  return {configured.first,
          discipline_.by_customer ? configured.second : ClassId()};
}

CustomerId WaitingQueue::CustomerOf(const SlotRequest& request) const {
  return discipline_.by_customer ? request.customer : CustomerId();
}

double WaitingQueue::ShareOf(const SlotRequest& request) const {
  return discipline_.by_customer ? request.share : 1;
}

WaitingQueue::ClassState& WaitingQueue::StateOf(const SlotRequest& request) {
  return classes_[KeyOf(request)];
}

WaitingQueue::Classes::iterator WaitingQueue::NextClassOfHighestTier() {
  auto found = classes_.begin();
  while (found->second.queue.empty())
    ++found;
  // Classes of one tier take turns: the one that waited longest is next.
  for (auto other = found; other != classes_.end(); ++other) {
    if (other->first.first != found->first.first)
      break;
    if (!other->second.queue.empty() && other->second.turn < found->second.turn)
      found = other;
  }
  return found;
}

WaitingQueue::Classes::iterator WaitingQueue::LongestWaitingClass() {
  auto longest = classes_.end();
  for (auto other = classes_.begin(); other != classes_.end(); ++other) {
    if (other->second.queue.empty())
      continue;
    if (longest == classes_.end() || other->second.turn < longest->second.turn)
      longest = other;
  }
  return longest;
}

WaitingQueue::Classes::iterator WaitingQueue::LowestTierClass() {
  auto found = std::prev(classes_.end());
  while (found->second.queue.empty())
    --found;
  return found;
}

WaitingQueue::Classes::iterator WaitingQueue::LowestSheddableClass(Tier tier) {
  auto lowest = classes_.end();
  for (auto other = classes_.begin(); other != classes_.end(); ++other) {
    const ClassQueue& queue = other->second.queue;
    if (other->first.first <= tier || queue.size() <= shed_floor_per_class_)
      continue;
    if (lowest == classes_.end() || lowest->first.first < other->first.first ||
        lowest->second.queue.heaviest_customer_work() <
            queue.heaviest_customer_work())
      lowest = other;
  }
  return lowest;
}

QueuedRequest WaitingQueue::RemoveFromIndex(QueuedRequest queued) {
  class_by_request_.erase(queued.request.request);
  --counts_.at({queued.request.tier, queued.request.class_id}).waiting;
  return queued;
}

QueuedRequest WaitingQueue::PopFromClass(Classes::iterator found) {
  return RemoveFromIndex(found->second.queue.Pop());
}

void WaitingQueue::AddToIndex(const SlotRequest& request) {
  ClassCount& count = counts_[{request.tier, request.class_id}];
  count.class_id = request.class_id;
  count.tier = request.tier;
  count.queue_limit = request.queue_limit;
  count.first_token_target = request.first_token_target;
  ++count.waiting;
}

}  // namespace bamboomount
