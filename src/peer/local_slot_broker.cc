#include "peer/local_slot_broker.h"

#include <algorithm>
#include <utility>

namespace bamboomount {
namespace {

std::vector<CellBackend> ToCellBackends(const std::vector<BackendRule>& rules,
                                        int divisor) {
  std::vector<CellBackend> backends;
  backends.reserve(rules.size());
  for (const BackendRule& rule : rules) {
    backends.push_back({rule.backend, rule.zone,
                        rule.kind == BackendKind::kCheap,
                        std::max(1, rule.slots / divisor)});
  }
  return backends;
}

}  // namespace

LocalSlotBroker::LocalSlotBroker(const ServiceConfig& config, int divisor) {
  Configure(config, divisor);
}

void LocalSlotBroker::Configure(const ServiceConfig& config, int divisor) {
  const auto now = std::chrono::steady_clock::now();
  std::vector<DueCallback> due;
  {
    const std::lock_guard lock(mutex_);
    for (const PoolRule& pool : config.pools) {
      schedulers_[pool.pool].SetBackends(
          ToCellBackends(config.BackendsOf(pool.pool), divisor), now);
      auto more = TakeDueCallbacks(pool.pool);
      std::move(more.begin(), more.end(), std::back_inserter(due));
    }
  }
  RunCallbacks(std::move(due));
}

void LocalSlotBroker::Request(const PoolId& pool,
                              const SlotRequest& request,
                              Callback done) {
  std::vector<DueCallback> due;
  {
    const std::lock_guard lock(mutex_);
    if (!schedulers_.contains(pool)) {
      due.emplace_back(std::move(done), Error{ErrorCode::kNoBackend,
                                              RunVerdict::kNotRun,
                                              "the pool is not configured",
                                              {}});
    } else {
      pending_.emplace(request.request, PendingRequest{pool, std::move(done)});
      schedulers_[pool].Enqueue(request, std::chrono::steady_clock::now());
      due = TakeDueCallbacks(pool);
    }
  }
  RunCallbacks(std::move(due));
}

void LocalSlotBroker::Cancel(const RequestId& request) {
  {
    const std::lock_guard lock(mutex_);
    const auto found = pending_.find(request);
    if (found != pending_.end()) {
      schedulers_[found->second.pool].Cancel(request,
                                             std::chrono::steady_clock::now());
      pending_.erase(found);
      return;
    }
  }
  Release(request, {SlotEnd::kCancelled, {}, {}, Millis(0)});
}

void LocalSlotBroker::Release(const RequestId& request,
                              const SlotOutcome& outcome) {
  std::vector<DueCallback> due;
  {
    const std::lock_guard lock(mutex_);
    const auto found = granted_.find(request);
    if (found == granted_.end())
      return;
    const PoolId pool = found->second;
    granted_.erase(found);
    schedulers_[pool].Finish(request, outcome,
                             std::chrono::steady_clock::now());
    due = TakeDueCallbacks(pool);
  }
  RunCallbacks(std::move(due));
}

void LocalSlotBroker::ReportProgress(const RequestId& request,
                                     Tokens generated) {
  const std::lock_guard lock(mutex_);
  const auto found = granted_.find(request);
  if (found == granted_.end())
    return;
  schedulers_[found->second].ObserveProgress(request, generated,
                                             std::chrono::steady_clock::now());
}

void LocalSlotBroker::MarkLeaving(const BackendId& backend) {
  const std::lock_guard lock(mutex_);
  for (auto& [pool, scheduler] : schedulers_)
    scheduler.MarkLeaving(backend, std::chrono::steady_clock::now());
}

void LocalSlotBroker::Tick() {
  std::vector<DueCallback> due;
  {
    const std::lock_guard lock(mutex_);
    for (auto& [pool, scheduler] : schedulers_) {
      auto more = TakeDueCallbacks(pool);
      std::move(more.begin(), more.end(), std::back_inserter(due));
    }
  }
  RunCallbacks(std::move(due));
}

std::vector<LocalSlotBroker::DueCallback> LocalSlotBroker::TakeDueCallbacks(
    const PoolId& pool) {
  std::vector<DueCallback> due;
  for (const SlotDecision& decision :
       schedulers_[pool].Decide(std::chrono::steady_clock::now())) {
    auto pending = pending_.extract(decision.request);
    if (pending.empty())
      continue;
    Callback done = std::move(pending.mapped().done);
    if (decision.backend) {
      granted_.emplace(decision.request, pool);
      due.emplace_back(std::move(done),
                       Slot{decision.request, *decision.backend});
      continue;
    }
    due.emplace_back(std::move(done),
                     Error{decision.reason, RunVerdict::kNotRun,
                           "no backend server can take the request in time",
                           decision.retry_after});
  }
  return due;
}

void LocalSlotBroker::RunCallbacks(std::vector<DueCallback>&& due) {
  for (auto& [done, result] : due)
    done(std::move(result));
}

}  // namespace bamboomount
