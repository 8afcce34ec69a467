#include "policy/cell_scheduler.h"

#include <algorithm>

namespace bamboomount {

void CellScheduler::SetBackends(const std::vector<CellBackend>& backends,
                                SteadyTime /*now*/) {
  std::map<BackendId, BackendState> replaced;
  for (const CellBackend& backend : backends) {
    BackendState state = backends_.contains(backend.backend)
                             ? backends_.at(backend.backend)
                             : BackendState{};
    state.backend = backend;
    replaced.emplace(backend.backend, state);
  }
  backends_ = std::move(replaced);
}

void CellScheduler::Enqueue(const SlotRequest& request, SteadyTime now) {
  const bool known =
      running_.contains(request.request) ||
      std::any_of(waiting_.begin(), waiting_.end(), [&](const Waiting& entry) {
        return entry.request.request == request.request;
      });
  if (!known)
    waiting_.push_back({request, now});
}

void CellScheduler::Adopt(const SlotRequest& request,
                          const BackendId& backend,
                          SteadyTime /*now*/) {
  if (!running_.emplace(request.request, Running{request, backend}).second)
    return;
  const auto found = backends_.find(backend);
  if (found != backends_.end())
    ++found->second.running;
}

void CellScheduler::Cancel(const RequestId& request, SteadyTime /*now*/) {
  waiting_.remove_if(
      [&](const Waiting& entry) { return entry.request.request == request; });
}

void CellScheduler::Finish(const RequestId& request,
                           const SlotOutcome& /*outcome*/,
                           SteadyTime /*now*/) {
  const auto running = running_.find(request);
  if (running == running_.end())
    return;
  const auto backend = backends_.find(running->second.backend);
  if (backend != backends_.end())
    --backend->second.running;
  running_.erase(running);
}

void CellScheduler::ObserveLoad(const BackendId& backend,
                                const LoadReport& report,
                                SteadyTime now) {
  if (report.leaving)
    MarkLeaving(backend, now);
}

void CellScheduler::ObserveProgress(const RequestId& /*request*/,
                                    Tokens /*generated*/,
                                    SteadyTime /*now*/) {}

void CellScheduler::MarkLeaving(const BackendId& backend, SteadyTime /*now*/) {
  const auto found = backends_.find(backend);
  if (found != backends_.end())
    found->second.leaving = true;
}

std::vector<SlotDecision> CellScheduler::Decide(SteadyTime /*now*/) {
  std::vector<SlotDecision> decisions;
  while (!waiting_.empty()) {
    const auto next = HighestTierOldest();
    BackendState* backend = ChooseBackend(next->request);
    if (backend == nullptr)
      break;
    ++backend->running;
    decisions.push_back(
        {next->request.request, backend->backend.backend, {}, Millis(0)});
    running_.emplace(next->request.request,
                     Running{next->request, backend->backend.backend});
    waiting_.erase(next);
  }
  return decisions;
}

CellScheduler::BackendState* CellScheduler::ChooseBackend(
    const SlotRequest& request) {
  BackendState* best = nullptr;
  for (auto& [id, state] : backends_) {
    const bool excluded =
        std::find(request.excluded.begin(), request.excluded.end(), id) !=
        request.excluded.end();
    if (excluded || state.leaving || state.running >= state.backend.slots)
      continue;
    if (best == nullptr || state.running < best->running)
      best = &state;
  }
  return best;
}

std::list<CellScheduler::Waiting>::iterator CellScheduler::HighestTierOldest() {
  return std::min_element(waiting_.begin(), waiting_.end(),
                          [](const Waiting& a, const Waiting& b) {
                            return a.request.tier < b.request.tier;
                          });
}

}  // namespace bamboomount
