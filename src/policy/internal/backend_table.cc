#include "policy/internal/backend_table.h"

#include <algorithm>
#include <set>

namespace bamboomount {
namespace {

constexpr Millis kInitialProbeDelay{1000};
constexpr Millis kMaxProbeDelay{30000};
// Load reports are late; one of them moves the estimate by this part.
constexpr double kLoadGain = 0.3;

}  // namespace

void BackendTable::SetBackends(const std::vector<CellBackend>& backends,
                               SteadyTime now) {
  std::set<BackendId> configured_ids;
  for (const CellBackend& backend : backends) {
    configured_ids.insert(backend.backend);
    BackendState& state = FindOrAdd(backend.backend);
    state.backend = backend;
    state.configured = true;
  }
  for (auto entry = states_.begin(); entry != states_.end();) {
    BackendState& state = *entry->second;
    if (!configured_ids.contains(entry->first)) {
      state.configured = false;
      state.leaving = false;
      MarkHealthy(state, now);
    }
    UpdateAvailability(state);
    entry = state.configured || state.running > 0 ? std::next(entry)
                                                  : states_.erase(entry);
  }
  in_service_count_ = static_cast<int>(std::count_if(
      states_.begin(), states_.end(),
      [](const auto& entry) { return entry.second->in_service(); }));
}

void BackendTable::AcquireSlot(const BackendId& backend) {
  BackendState& state = FindOrAdd(backend);
  ++state.running;
  state.last_grant = ++grant_count_;
  UpdateAvailability(state);
}

void BackendTable::ReleaseSlot(const BackendId& backend) {
  BackendState& state = FindOrAdd(backend);
  --state.running;
  UpdateAvailability(state);
  if (!state.configured && state.running == 0)
    states_.erase(backend);
}

void BackendTable::MarkLeaving(const BackendId& backend, SteadyTime now) {
  BackendState* state = Find(backend);
  if (state == nullptr || state->leaving)
    return;
  in_service_count_ -= state->in_service() ? 1 : 0;
  state->leaving = true;
  MarkHealthy(*state, now);
}

void BackendTable::MarkUnhealthy(BackendState& state,
                                 BackendHealth health,
                                 SteadyTime now) {
  if (!state.in_service())
    return;
  if (state.health == BackendHealth::kHealthy) {
    unhealthy_.push_back(&state);
    state.probe_delay = kInitialProbeDelay;
    state.next_probe_time = now + state.probe_delay;
  }
  state.health = health;
  UpdateAvailability(state);
}

void BackendTable::MarkHealthy(BackendState& state, SteadyTime now) {
  std::erase(unhealthy_, &state);
  if (state.health != BackendHealth::kHealthy)
    state.healthy_since = now;
  state.health = BackendHealth::kHealthy;
  state.probe_request.reset();
  UpdateAvailability(state);
}

void BackendTable::ObserveLoad(const BackendId& backend,
                               const LoadReport& report,
                               SteadyTime now) {
  BackendState* state = Find(backend);
  if (state == nullptr)
    return;
  if (report.leaving) {
    MarkLeaving(backend, now);
    return;
  }
  const double external =
      std::max(0, report.running + report.waiting - state->running);
  state->external_load += kLoadGain * (external - state->external_load);
}

std::vector<BackendState*> BackendTable::DueProbes(SteadyTime now) const {
  std::vector<BackendState*> due;
  for (BackendState* state : unhealthy_) {
    if (!state->probe_request && !state->full() &&
        state->next_probe_time <= now)
      due.push_back(state);
  }
  return due;
}

void BackendTable::EndProbe(BackendState& state, SteadyTime now) {
  state.probe_request.reset();
  state.probe_delay = std::min(state.probe_delay * 2, kMaxProbeDelay);
  state.next_probe_time = now + state.probe_delay;
}

BackendState* BackendTable::Find(const BackendId& backend) {
  const auto found = states_.find(backend);
  return found == states_.end() ? nullptr : found->second.get();
}

BackendState* BackendTable::FindAvailable(const BackendId& backend) const {
  const auto found = states_.find(backend);
  if (found == states_.end() || found->second->available_index < 0)
    return nullptr;
  return found->second.get();
}

bool BackendTable::AllExcluded(const std::vector<BackendId>& excluded) const {
  const std::set<BackendId> distinct(excluded.begin(), excluded.end());
  const auto usable = [&](const BackendId& id) {
    const auto found = states_.find(id);
    return found != states_.end() && found->second->in_service();
  };
  return std::count_if(distinct.begin(), distinct.end(), usable) >=
         in_service_count_;
}

BackendState& BackendTable::FindOrAdd(const BackendId& backend) {
  auto& state = states_[backend];
  if (state == nullptr) {
    state = std::make_unique<BackendState>();
    state->backend.backend = backend;
    state->configured = false;
  }
  return *state;
}

void BackendTable::UpdateAvailability(BackendState& state) {
  const bool is_available = state.in_service() &&
                            state.health == BackendHealth::kHealthy &&
                            !state.full();
  if (is_available == (state.available_index >= 0))
    return;
  if (is_available) {
    state.available_index = static_cast<int>(available_.size());
    available_.push_back(&state);
    return;
  }
  BackendState* last = available_.back();
  available_[state.available_index] = last;
  last->available_index = state.available_index;
  available_.pop_back();
  state.available_index = -1;
}

}  // namespace bamboomount
