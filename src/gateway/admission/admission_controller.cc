#include "gateway/admission/admission_controller.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace bamboomount {
namespace {

// Requests for each slot that overload is meant to keep at the servers. An
// engine generates more slowly the more requests it has, and the rest absorbs
// variations that the instances' reports show too late. A plain service needs a
// short queue, so that no slot is idle between two requests.
constexpr double kEngineOccupancy = 0.9;
constexpr double kServiceOccupancy = 1.2;
// Below this share of the slots in use nothing is refused.
constexpr double kMinOccupancyToRefuse = 0.5;
// Relative change of the capacity in a second for each unit by which the
// occupancy misses its target, and the largest misses that count. The occupancy
// is known about one second late; faster changes would oscillate. Requests
// above the target lower the capacity slowly, because most of them were
// admitted before the overload was known.
constexpr double kCapacityGainPerSecond = 1;
constexpr double kMaxFreeOccupancy = 0.5;
constexpr double kMaxExcessOccupancy = 0.1;
constexpr double kMinCapacityFactor = 0.5;
constexpr double kMaxCapacityFactor = 4;
// Longest step of the correction.
constexpr std::chrono::duration<double> kMaxStep{1.0};
// A pool counts as busy above this demand in relation to its capacity, or this
// share of its slots in use.
constexpr double kBusyFraction = 0.5;

}  // namespace

bool AdmissionController::IsUpdateDue(const PoolId& pool, Instant now) const {
  const auto state = pools_.find(pool);
  return state == pools_.end() ||
         now - state->second.updated_at >= kUpdateInterval;
}

std::optional<OverloadChange> AdmissionController::Update(
    const PoolId& pool,
    const PoolStatus& status,
    Instant now) {
  const auto [entry, is_new] = pools_.try_emplace(pool);
  PoolState& state = entry->second;
  if (is_new)
    state.updated_at = now;
  const bool was_limited = state.fractions.limited();
  const PoolDemandTable demand = fleet_.Estimate(
      pool, meter_.DemandOn(pool, now), status.instance_count, now);
  state.demand = TotalDemand(demand);
  state.occupancy =
      static_cast<double>(status.requests) / std::max(1, status.slots);
  if (status.servers > 0)
    state.slots_per_server = std::max(1, status.slots / status.servers);
  const double target = status.engines ? kEngineOccupancy : kServiceOccupancy;
  AdjustCapacityFactor(state, target, now);
  state.capacity = status.servers * target * state.capacity_factor;
  state.fractions = Allocate(state.capacity, demand, weights_);
  state.updated_at = now;
  if (state.fractions.limited() == was_limited)
    return std::nullopt;
  return OverloadChange{state.fractions.limited(), state.demand, state.capacity,
                        state.fractions.partial_tier()};
}

void AdmissionController::AdjustCapacityFactor(PoolState& pool,
                                               double target_occupancy,
                                               Instant now) {
  const auto step =
      std::min<std::chrono::duration<double>>(now - pool.updated_at, kMaxStep);
  // Without overload the occupancy says nothing about the capacity; the
  // correction then fades.
  const bool refuses =
      pool.fractions.limited() && pool.occupancy >= kMinOccupancyToRefuse;
  const double exponent =
      refuses ? std::clamp(target_occupancy - pool.occupancy,
                           -kMaxExcessOccupancy, kMaxFreeOccupancy)
              : -std::log(pool.capacity_factor);
  pool.capacity_factor *=
      std::exp(kCapacityGainPerSecond * exponent * step.count());
  pool.capacity_factor =
      std::clamp(pool.capacity_factor, kMinCapacityFactor, kMaxCapacityFactor);
}

bool AdmissionController::Admit(const AdmissionRequest& request,
                                double draw,
                                Instant now) {
  meter_.RecordOffered(request.pool, request.tier, request.customer,
                       request.server_seconds, now);
  if (!request.sheddable)
    return true;
  const auto pool = pools_.find(request.pool);
  if (pool == pools_.end() || !pool->second.fractions.limited() ||
      pool->second.occupancy < kMinOccupancyToRefuse) {
    credits_.erase({request.pool, request.tier, request.customer});
    return true;
  }
  const double fraction =
      pool->second.fractions.For(request.tier, request.customer);
  // A random start keeps the instances from admitting at the same time.
  double& credit =
      credits_.try_emplace({request.pool, request.tier, request.customer}, draw)
          .first->second;
  credit += fraction;
  if (credit < 1)
    return false;
  credit -= 1;
  return true;
}

double AdmissionController::LoadFactor(const PoolId& pool) const {
  const auto state = pools_.find(pool);
  if (state == pools_.end() || state->second.capacity <= 0)
    return 0;
  return state->second.demand / state->second.capacity;
}

int AdmissionController::SlotsPerServer(const PoolId& pool) const {
  const auto state = pools_.find(pool);
  return state == pools_.end() ? 1 : state->second.slots_per_server;
}

std::set<PoolId> AdmissionController::BusyPools() const {
  std::set<PoolId> busy;
  for (const auto& [pool, state] : pools_) {
    if (state.occupancy >= kBusyFraction ||
        state.demand >= kBusyFraction * state.capacity)
      busy.insert(pool);
  }
  return busy;
}

}  // namespace bamboomount
