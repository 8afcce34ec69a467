#ifndef GATEWAY_TRAFFIC_TRAFFIC_POLICY_H_
#define GATEWAY_TRAFFIC_TRAFFIC_POLICY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/base.h"
#include "gateway/traffic/pool.h"
#include "gateway/traffic/region_limit.h"
#include "gateway/traffic/route.h"

namespace bamboomount {

// Limits on the size of a caller's requests and on the time that the caller may
// take to send them.
struct CallerLimits {
  std::uint32_t header_bytes = 16384;
  std::uint64_t body_bytes = 4194304;
  Millis header_timeout{3000};
  Millis idle_timeout{15000};
};

// The customer that a key belongs to, and the key's privileges.
struct KeyGrant {
  CustomerId customer;
  // Overrides the tier of the route.
  std::optional<Tier> tier;
  // Regions whose servers may run the customer's requests; empty if all may.
  std::set<RegionId> allowed_regions{};
};

// One version of the operator's configuration, indexed for lookups. Immutable;
// shared by the requests that it applies to.
class TrafficPolicy {
 public:
  class Builder;

  ConfigVersion version() const { return version_; }
  const CallerLimits& limits() const { return limits_; }
  const std::map<PoolId, Pool>& pools() const { return pools_; }
  // False if the configuration has no customers. Requests then need no key.
  bool has_customers() const { return has_customers_; }
  std::size_t route_count() const { return route_count_; }

  // Rank of a request among all ranks that the configuration allows; 0 is the
  // most urgent. Requests are ranked by the customer's tier, or by the route's
  // tier if the customer has none, and among equals by the route's tier.
  Tier Urgency(const Route& route, const std::optional<Tier>& customer) const;
  // Whether no route of the configuration has a less urgent tier.
  bool IsLeastUrgent(const Route& route) const {
    return route.tier == *route_tiers_.rbegin();
  }
  // Number of ranks that Urgency can return.
  int urgency_levels() const;

  // The route of `host` with the longest prefix that matches `path`; null if
  // none matches. `path` has no query. The pointer is valid for as long as the
  // policy.
  const Route* FindRoute(const std::string& host, std::string_view path) const;
  // The regions in which some route of the host may be served.
  RegionLimit RegionsOf(const std::string& host) const;
  // Null if no customer has the key.
  const KeyGrant* FindKey(const std::string& key) const;
  // Null if the configuration does not contain the pool.
  const Pool* FindPool(const PoolId& id) const;

 private:
  using RoutesByPrefix = std::unordered_map<std::string, Route>;

  ConfigVersion version_;
  CallerLimits limits_;
  std::unordered_map<std::string, RoutesByPrefix> routes_by_host_;
  std::unordered_map<std::string, KeyGrant> grants_by_key_;
  std::map<PoolId, Pool> pools_;
  // Distinct tiers, the most urgent one first.
  std::set<Tier> route_tiers_;
  std::set<Tier> all_tiers_;
  std::size_t route_count_ = 0;
  bool has_customers_ = false;
};

class TrafficPolicy::Builder {
 public:
  explicit Builder(ConfigVersion version);

  Builder& SetLimits(const CallerLimits& limits);
  // Hosts match regardless of case and port.
  Builder& AddRoute(Route route);
  Builder& AddPool(Pool pool);
  // Requires a key on routes that do not allow anonymous callers.
  Builder& RequireKeys();
  Builder& AddKey(std::string key, KeyGrant grant);
  std::shared_ptr<const TrafficPolicy> Build();

 private:
  std::shared_ptr<TrafficPolicy> policy_;
};

// Converts `host` to the form used for lookups: lower case, without the port.
std::string NormalizeHost(std::string_view host);

}  // namespace bamboomount

#endif  // GATEWAY_TRAFFIC_TRAFFIC_POLICY_H_
