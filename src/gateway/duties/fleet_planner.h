#ifndef GATEWAY_DUTIES_FLEET_PLANNER_H_
#define GATEWAY_DUTIES_FLEET_PLANNER_H_

#include <deque>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "gateway/boot_clock.h"
#include "gateway/control/duty_client.h"
#include "gateway/membership/backend_server.h"
#include "gateway/placement/backend_loads.h"
#include "gateway/traffic/pool.h"

namespace bamboomount {

// Number of listed backend servers of one kind (firm or reclaimable) in one
// availability zone.
struct ZoneCount {
  int ready = 0;
  int draining = 0;
};

// Listed servers of a pool and the load on them.
struct PoolDemand {
  std::map<ZoneId, ZoneCount> firm;
  std::map<ZoneId, ZoneCount> reclaimable;
  // Load of all instances together: requests that are generating tokens, and
  // pending prefill tokens.
  int generating = 0;
  std::int64_t pending_prefill_tokens = 0;
  int slots_per_server = 1;
  // Zones whose servers must not be used; none are ordered there.
  std::set<ZoneId> evacuated_zones;
};

PoolDemand MeasureDemand(const Pool& pool,
                         const std::vector<const BackendServer*>& listed,
                         const std::set<ZoneId>& evacuated_zones,
                         const BackendLoads& loads);

// Plans how many backend servers of a pool to order in each availability zone.
//
// Reclaimable servers cost a fraction of firm ones, but the platform may
// reclaim all those of a zone at once. The plan therefore spreads reclaimable
// servers over all zones, with enough of them that the demand is still met
// after the loss of any one zone, and releases firm servers once the
// reclaimable ones are ready. Where no reclaimable servers are available, firm
// ones fill the gap. Not thread-safe.
class FleetPlanner {
 public:
  // Returns the orders that are due at `now`. The count of an order is the
  // desired total for its zone and kind, not a difference.
  std::vector<BackendOrder> Plan(const Pool& pool,
                                 const PoolDemand& demand,
                                 Instant now);
  void RecordOrderOutcome(const BackendOrder& order,
                          DutyOutcome outcome,
                          Instant now);
  // Discards the record of earlier orders and demand. Planning restarts from
  // the servers that are listed.
  void Reset();

  // Number of servers that the current demand requires, without headroom.
  static int RequiredServers(const PoolDemand& demand);

 private:
  using ServerGroup = std::pair<PoolId, std::pair<ZoneId, bool>>;
  struct DemandHistory {
    std::deque<int> recent;
    // The largest sustained number of required servers within the last
    // kPeakRetention, and when it was observed.
    int peak = 0;
    Instant peak_at;
  };
  // Ready and starting servers in each zone.
  struct ExpectedCounts {
    std::map<ZoneId, int> firm;
    std::map<ZoneId, int> reclaimable;
  };
  struct Target {
    // Number of servers that the pool should have.
    int desired = 0;
    // Number of servers below which firm ones are ordered.
    int required = 0;
    // Number of reclaimable servers in each zone.
    int reclaimable_per_zone = 0;
  };

  // Baseline size of a pool, the number of servers that it has without orders
  // and losses. Estimated as the largest number of ready servers since the last
  // reset, where reclaimable servers held as spare for the loss of a zone are
  // not counted.
  struct PoolSize {
    int servers = 0;
    int listed = 0;
    Instant changed_at;
    bool stable = false;
  };

  // Updates the baseline size. Returns whether it is known, that is, whether
  // the number of listed servers has been constant and above 0 for
  // kStabilizationTime since the last reset.
  bool UpdatePoolSize(const PoolId& pool,
                      const PoolDemand& demand,
                      int zone_count,
                      Instant now);
  // Number of servers of one kind in a zone, including those that have been
  // ordered and are still starting.
  int ExpectedCount(const Pool& pool,
                    const ZoneId& zone,
                    bool reclaimable,
                    const std::map<ZoneId, ZoneCount>& counts,
                    Instant now) const;
  static std::map<ZoneId, int> FirmTargets(const ScalingRule& rule,
                                           const std::vector<ZoneId>& zones,
                                           const PoolDemand& demand,
                                           const ExpectedCounts& expected,
                                           const Target& target);
  static void AddFirm(const ScalingRule& rule,
                      const std::vector<ZoneId>& zones,
                      const std::map<ZoneId, int>& reclaimable,
                      int missing,
                      std::map<ZoneId, int>& firm);
  int SustainedDemand(const PoolId& pool, int needed, Instant now);
  bool IsBackingOff(const ServerGroup& group, Instant now) const;
  // Appends an order if `desired` differs from `expected_count` and the group
  // is not backing off. `ready` counts the servers that are listed as ready;
  // `expected_count` also includes starting ones.
  void AppendOrderIfDue(const Pool& pool,
                        const ZoneId& zone,
                        bool reclaimable,
                        int ready,
                        int expected_count,
                        int desired,
                        Instant now,
                        std::vector<BackendOrder>& orders);

  // The last order of a server group.
  struct LastOrder {
    int count = 0;
    // Number of ready servers when the order was planned.
    int ready = 0;
    Instant at;
  };
  std::map<ServerGroup, LastOrder> last_orders_;
  // Server groups whose last order found no servers available, and when.
  std::map<ServerGroup, Instant> unavailable_since_;
  std::map<PoolId, DemandHistory> demand_history_;
  std::map<PoolId, PoolSize> sizes_;
};

}  // namespace bamboomount

#endif  // GATEWAY_DUTIES_FLEET_PLANNER_H_
