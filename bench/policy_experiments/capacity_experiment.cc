#include "capacity_experiment.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <numbers>
#include <random>

namespace bamboomount {
namespace {

constexpr int kStepSeconds = 30;
constexpr int kStepsPerDay = 24 * 3600 / kStepSeconds;
constexpr int kOrderDelaySteps = 4;
constexpr double kStepsPerHour = kStepsPerDay / 24.0;
constexpr double kProtectedFraction = 0.5;
constexpr double kNoiseDeviation = 0.03;

struct PendingOrder {
  int ready_step = 0;
  std::size_t zone = 0;
  bool cheap = false;
  int count = 0;
};

double DemandAt(int step, double mean) {
  const double curve =
      1 - 0.5 * std::cos(2 * std::numbers::pi * step / kStepsPerDay);
  // A sled race in the evening: one and a half times the load for two hours.
  const bool evening_peak =
      step >= 18 * kStepsPerHour && step < 20 * kStepsPerHour;
  return mean * curve * (evening_peak ? 1.5 : 1);
}

bool ZoneIsLost(int step) {
  return step >= 10 * kStepsPerHour && step < 13 * kStepsPerHour;
}

double CostOf(const std::vector<ZoneFleet>& zones,
              const CapacityPlannerOptions& options) {
  double cost = 0;
  for (const ZoneFleet& zone : zones)
    cost += zone.firm * options.firm_cost + zone.cheap * options.cheap_cost;
  return cost;
}

// The cheapest fleet, planned from an empty one without a limit on changes.
double CheapestCost(CapacityPlannerInput input,
                    CapacityPlannerOptions options) {
  for (ZoneFleet& zone : input.zones)
    zone.firm = zone.cheap = 0;
  options.max_changes = 1 << 20;
  CapacityPlanner planner(options);
  for (const FleetChange& change : planner.PlanChanges(input, SteadyTime())) {
    for (ZoneFleet& zone : input.zones) {
      if (zone.zone == change.zone)
        (change.cheap ? zone.cheap : zone.firm) += change.count;
    }
  }
  return CostOf(input.zones, options);
}

// The fleet with its orders under way.
class Fleet {
 public:
  explicit Fleet(const Deployment& deployment) {
    for (const CellBackend& engine : deployment.engines) {
      auto found = std::find_if(
          running_.begin(), running_.end(),
          [&](const ZoneFleet& zone) { return zone.zone == engine.zone; });
      if (found == running_.end()) {
        running_.push_back({engine.zone, 0, 0, 0});
        found = std::prev(running_.end());
      }
      ++(engine.cheap ? found->cheap : found->firm);
    }
  }

  void CompleteOrders(int step) {
    while (!pending_.empty() && pending_.front().ready_step <= step) {
      const PendingOrder& order = pending_.front();
      const bool lost = order.cheap && running_[order.zone].cheap_limit == 0;
      if (!lost)
        CountOf(running_[order.zone], order.cheap) += order.count;
      pending_.pop_front();
    }
  }

  void Apply(const FleetChange& change, int step) {
    for (std::size_t i = 0; i < running_.size(); ++i) {
      if (running_[i].zone != change.zone)
        continue;
      if (change.count < 0)
        CountOf(running_[i], change.cheap) += change.count;
      else
        pending_.push_back(
            {step + kOrderDelaySteps, i, change.cheap, change.count});
    }
  }

  std::vector<ZoneFleet>& running() { return running_; }
  std::vector<ZoneFleet> ordered() const {
    std::vector<ZoneFleet> zones = running_;
    for (const PendingOrder& order : pending_)
      CountOf(zones[order.zone], order.cheap) += order.count;
    return zones;
  }

 private:
  static int& CountOf(ZoneFleet& zone, bool cheap) {
    return cheap ? zone.cheap : zone.firm;
  }

  std::vector<ZoneFleet> running_;
  std::deque<PendingOrder> pending_;
};

}  // namespace

CapacityReport SimulateCapacityDay(const Deployment& deployment,
                                   const CapacityPlannerOptions& options,
                                   double headroom,
                                   std::uint64_t seed) {
  const auto engines = static_cast<int>(deployment.engines.size());
  const int limit = engines / 3;
  std::mt19937_64 random(seed);
  std::normal_distribution<double> noise(1, kNoiseDeviation);
  Fleet fleet(deployment);
  CapacityPlanner planner(options);
  CapacityReport report;
  double cost = 0;
  double cheapest = 0;
  double cheap = 0;
  double all = 0;
  for (int step = 0; step < kStepsPerDay; ++step) {
    const SteadyTime now{std::chrono::seconds(3600 + step * kStepSeconds)};
    for (ZoneFleet& zone : fleet.running())
      zone.cheap_limit = limit;
    if (ZoneIsLost(step)) {
      fleet.running().back().cheap = 0;
      fleet.running().back().cheap_limit = 0;
    }
    fleet.CompleteOrders(step);
    CapacityPlannerInput needed{fleet.running(), 0, 0};
    needed.total_demand = DemandAt(step, 0.6 * engines);
    needed.protected_demand = kProtectedFraction * needed.total_demand;
    const double running_cost = CostOf(fleet.running(), options);
    cost += running_cost;
    cheapest += CheapestCost(needed, options);
    int count = 0;
    for (const ZoneFleet& zone : fleet.running()) {
      count += zone.firm + zone.cheap;
      cheap += zone.cheap;
    }
    all += count;
    report.short_percent += count < needed.total_demand ? 1 : 0;
    report.protected_short_percent += count < needed.protected_demand ? 1 : 0;
    CapacityPlannerInput observed = needed;
    observed.zones = fleet.ordered();
    const double factor = noise(random) * headroom;
    observed.total_demand *= factor;
    observed.protected_demand *= factor;
    for (const FleetChange& change : planner.PlanChanges(observed, now)) {
      fleet.Apply(change, step);
      report.changes += std::abs(change.count);
    }
  }
  report.cost_ratio = cost / cheapest;
  report.cheap_percent = 100 * cheap / all;
  report.short_percent *= 100.0 / kStepsPerDay;
  report.protected_short_percent *= 100.0 / kStepsPerDay;
  return report;
}

}  // namespace bamboomount
