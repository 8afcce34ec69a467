#ifndef GATEWAY_ADMISSION_DEMAND_METER_H_
#define GATEWAY_ADMISSION_DEMAND_METER_H_

#include <map>
#include <set>
#include <tuple>
#include <vector>

#include "gateway/admission/demand.h"
#include "gateway/boot_clock.h"

namespace bamboomount {

// Measures the demand that callers place on one instance, whether it is
// admitted or not. Rates are averaged over kAveragingTime with exponential
// weights. Not thread-safe.
class DemandMeter {
 public:
  static constexpr Millis kAveragingTime{1000};
  // Upper bound on the entries of a report, so that a gossip message stays
  // small with many customers.
  static constexpr std::size_t kMaxReportEntries = 64;

  // Records a request that would keep one server busy for `server_seconds`.
  void RecordOffered(const PoolId& pool,
                     Tier tier,
                     const CustomerId& customer,
                     double server_seconds,
                     Instant now);
  // The demand by pool and tier; by customer only for the pools in
  // `by_customer` and only for the largest customers. Drops entries without
  // recent requests.
  std::vector<DemandEntry> Report(const std::set<PoolId>& by_customer,
                                  Instant now);
  // The demand on one pool with all its customers.
  PoolDemandTable DemandOn(const PoolId& pool, Instant now) const;

 private:
  struct Rate {
    // Server-seconds that were offered, each weighted by its age.
    double weighted_sum = 0;
    Instant updated_at;

    void DecayTo(Instant now);
    double ServersAt(Instant now) const;
  };
  using Key = std::tuple<PoolId, Tier, CustomerId>;

  std::map<Key, Rate> rates_;
};

}  // namespace bamboomount

#endif  // GATEWAY_ADMISSION_DEMAND_METER_H_
