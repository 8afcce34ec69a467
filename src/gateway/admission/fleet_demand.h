#ifndef GATEWAY_ADMISSION_FLEET_DEMAND_H_
#define GATEWAY_ADMISSION_FLEET_DEMAND_H_

#include <map>
#include <vector>

#include "gateway/admission/demand.h"
#include "gateway/boot_clock.h"

namespace bamboomount {

// Estimates the demand on all instances from the reports of those that were
// heard lately. Instances without a recent report are assumed to have the mean
// demand of the others, since callers choose instances at random. Not
// thread-safe.
class FleetDemand {
 public:
  // A report counts for this time. In a fleet of 60 an instance is heard about
  // every 0.9 s.
  static constexpr Millis kReportLifetime{3000};

  // Replaces what the peer last reported.
  void SetPeerDemand(const InstanceId& peer,
                     const std::vector<DemandEntry>& report,
                     Instant now);
  // Removes the reports of all peers but `live_peers`.
  void RetainPeers(const std::vector<InstanceId>& live_peers);
  // The demand on the pool over `instance_count` instances. `own` is the demand
  // on this instance. Demand that instances report as one sum is attributed to
  // the customers of the tier in proportion to what is known of them.
  PoolDemandTable Estimate(const PoolId& pool,
                           const PoolDemandTable& own,
                           int instance_count,
                           Instant now) const;

 private:
  struct Report {
    std::map<PoolId, PoolDemandTable> demand;
    Instant received_at;
  };

  std::map<InstanceId, Report> reports_;
};

}  // namespace bamboomount

#endif  // GATEWAY_ADMISSION_FLEET_DEMAND_H_
