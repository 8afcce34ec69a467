#ifndef GATEWAY_ADMISSION_ADMISSION_CONTROLLER_H_
#define GATEWAY_ADMISSION_ADMISSION_CONTROLLER_H_

#include <map>
#include <optional>
#include <set>
#include <tuple>

#include "gateway/admission/demand_meter.h"
#include "gateway/admission/fair_allocation.h"
#include "gateway/admission/fleet_demand.h"
#include "gateway/boot_clock.h"

namespace bamboomount {

// State of a pool over all instances, as far as this instance knows.
struct PoolStatus {
  // Whether the servers are model engines.
  bool engines = false;
  // Backend servers that may get requests, and their slots in total.
  int servers = 0;
  int slots = 0;
  // Requests that are at these servers.
  int requests = 0;
  // Instances that share the pool.
  int instance_count = 1;
};

struct AdmissionRequest {
  PoolId pool;
  Tier tier;
  // kNoCustomer if the request has none.
  CustomerId customer;
  double server_seconds = 0;
  // Whether the request may be refused. Others count as demand all the same, so
  // that those that may be refused leave room for them.
  bool sheddable = true;
};

// Reported when the demand on a pool rises above its capacity or falls below.
struct OverloadChange {
  bool overloaded = false;
  // Both in servers.
  double demand = 0;
  double capacity = 0;
  // The least urgent tier that is admitted, if some are not.
  std::optional<Tier> lowest_tier;
};

// Admission control over all instances for engines and plain services alike.
//
// Each instance divides the capacity of a pool among the demand that all
// instances have reported, and admits of each group of requests (tier and
// customer) the fraction that fits. Fractions need no agreement between
// instances, and they work where the share of one instance is less than one
// slot. Less urgent tiers are refused first; inside a tier customers share the
// capacity fairly.
//
// The capacity is the number of servers, corrected by the share of their slots
// that is in use while the pool is overloaded, so that errors in the predicted
// cost of requests do not last. Not thread-safe.
class AdmissionController {
 public:
  // Time between two updates of a pool.
  static constexpr Millis kUpdateInterval{250};

  AdmissionController(DemandMeter& meter, const FleetDemand& fleet)
      : meter_(meter), fleet_(fleet) {}

  // Whether Update() is due.
  bool IsUpdateDue(const PoolId& pool, Instant now) const;
  // Divides the pool's capacity anew. Returns a change of state, if any.
  std::optional<OverloadChange> Update(const PoolId& pool,
                                       const PoolStatus& status,
                                       Instant now);
  // Counts the request as demand and decides whether it is admitted. `draw` is
  // uniform in [0, 1).
  bool Admit(const AdmissionRequest& request, double draw, Instant now);
  // Demand in relation to capacity at the last update; 0 before it.
  double LoadFactor(const PoolId& pool) const;
  // Mean number of slots of the pool's servers; 1 before the first update.
  int SlotsPerServer(const PoolId& pool) const;
  // The pools whose demand is to be reported by customer, because their
  // capacity may have to be divided soon.
  std::set<PoolId> BusyPools() const;
  void SetWeights(CustomerWeights weights) { weights_ = std::move(weights); }

 private:
  struct PoolState {
    Instant updated_at;
    double demand = 0;
    double capacity = 0;
    // Correction of the capacity.
    double capacity_factor = 1;
    // Share of the slots that is in use.
    double occupancy = 0;
    int slots_per_server = 1;
    AdmittedFractions fractions;
  };
  using Group = std::tuple<PoolId, Tier, CustomerId>;

  static void AdjustCapacityFactor(PoolState& pool,
                                   double target_occupancy,
                                   Instant now);

  DemandMeter& meter_;
  const FleetDemand& fleet_;
  CustomerWeights weights_;
  std::map<PoolId, PoolState> pools_;
  // Requests that a group may still send; grows by the group's fraction with
  // each of its requests.
  std::map<Group, double> credits_;
};

}  // namespace bamboomount

#endif  // GATEWAY_ADMISSION_ADMISSION_CONTROLLER_H_
