#ifndef GATEWAY_DUTIES_FLEET_PLANNER_H_
#define GATEWAY_DUTIES_FLEET_PLANNER_H_

#include <deque>
#include <map>
#include <utility>
#include <vector>

#include "gateway/boot_clock.h"
#include "gateway/control/duty_client.h"
#include "gateway/membership/backend_server.h"
#include "gateway/placement/backend_loads.h"
#include "gateway/traffic/pool.h"

namespace bamboomount {

// Backend servers of one kind in one zone that are ready, or leave.
struct ZoneCount {
  int ready = 0;
  int draining = 0;
};

// What a pool has and what it is asked for.
struct PoolDemand {
  std::map<ZoneId, ZoneCount> firm;
  std::map<ZoneId, ZoneCount> reclaimable;
  // Over all instances.
  int generating = 0;
  std::int64_t unread_tokens = 0;
  int slots_per_server = 1;
};

PoolDemand MeasureDemand(const Pool& pool,
                         const std::vector<const BackendServer*>& listed,
                         const BackendLoads& loads);

// Plans how many backend servers of a pool to order in each zone.
//
// Reclaimable ones cost a small part of firm ones but go a whole zone at a
// time. The plan therefore spreads reclaimable ones over all zones, so many
// that the demand fits on what is left without any one zone, and gives firm
// ones back once the reclaimable ones are ready. Where reclaimable ones are
// not to be had, firm ones fill the gap.
class FleetPlanner {
 public:
  // Orders that are due now. Counts are levels, not changes.
  std::vector<BackendOrder> Plan(const Pool& pool,
                                 const PoolDemand& demand,
                                 Instant now);
  void RecordOrderOutcome(const BackendOrder& order,
                          DutyOutcome outcome,
                          Instant now);
  // Forgets what was ordered; the servers that are listed tell.
  void Reset();

  // Servers that the demand needs.
  static int RequiredServers(const PoolDemand& demand);

 private:
  using ServerGroup = std::pair<PoolId, std::pair<ZoneId, bool>>;
  struct DemandHistory {
    std::deque<int> recent;
    // The largest demand that was sustained, and when.
    int peak = 0;
    Instant peak_at;
  };
  // Servers in each zone, starting ones included.
  struct ExpectedCounts {
    std::map<ZoneId, int> firm;
    std::map<ZoneId, int> reclaimable;
  };
  struct Target {
    // Servers that the pool should have.
    int desired = 0;
    // Servers that it cannot do without.
    int required = 0;
    // Reclaimable ones in each zone.
    int reclaimable_per_zone = 0;
  };

  // How many servers a pool has when nothing is ordered or taken away.
  struct PoolSize {
    int servers = 0;
    int listed = 0;
    Instant changed_at;
    bool stable = false;
  };

  // Returns whether the pool's size is known.
  bool UpdatePoolSize(const PoolId& pool,
                      const PoolDemand& demand,
                      int zone_count,
                      Instant now);
  // Servers of one kind in a zone, those that were ordered and are starting
  // included.
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
  // `ready` are listed as ready; `expected_count` are ready or starting.
  void AppendOrderIfDue(const Pool& pool,
                        const ZoneId& zone,
                        bool reclaimable,
                        int ready,
                        int expected_count,
                        int desired,
                        Instant now,
                        std::vector<BackendOrder>& orders);

  // The level last ordered, and when.
  struct LastOrder {
    int count = 0;
    // Ready ones at that time.
    int ready = 0;
    Instant at;
  };
  std::map<ServerGroup, LastOrder> last_orders_;
  // Kinds and zones of which there were none when they were last asked for.
  std::map<ServerGroup, Instant> unavailable_since_;
  std::map<PoolId, DemandHistory> demand_history_;
  std::map<PoolId, PoolSize> sizes_;
};

}  // namespace bamboomount

#endif  // GATEWAY_DUTIES_FLEET_PLANNER_H_
