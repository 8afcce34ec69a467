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
#include "gateway/traffic/route.h"

namespace bamboomount {

// Bounds on what a caller may send and on how long it may take.
struct CallerLimits {
  std::uint32_t header_bytes = 16384;
  std::uint64_t body_bytes = 4194304;
  Millis header_timeout{3000};
  Millis idle_timeout{15000};
};

// What a customer's key gives access to.
struct KeyGrant {
  CustomerId customer;
  // Goes before the tier of the route.
  std::optional<Tier> tier;
};

// One version of the operator's configuration, compiled for look-ups.
// Immutable; shared by the requests that it was applied to.
class TrafficPolicy {
 public:
  class Builder;

  ConfigVersion version() const { return version_; }
  const CallerLimits& limits() const { return limits_; }
  const std::map<PoolId, Pool>& pools() const { return pools_; }
  // False: the configuration has no customers, and no request needs a key.
  bool has_customers() const { return has_customers_; }
  std::size_t route_count() const { return route_count_; }

  // Rank of a request among all that the configuration can name, 0 first: by
  // the customer's tier, or the route's where the customer has none, and among
  // equals by the route's.
  Tier Urgency(const Route& route, const std::optional<Tier>& customer) const;
  // Ranks that Urgency can give.
  int urgency_levels() const;

  // The route with the longest prefix of `path` among those of `host`, or
  // null. `path` has no query.
  const Route* FindRoute(const std::string& host, std::string_view path) const;
  // Null if no customer has the key.
  const KeyGrant* FindKey(const std::string& key) const;
  // Null if the configuration does not have the pool.
  const Pool* FindPool(const PoolId& id) const;

 private:
  using RoutesByPrefix = std::unordered_map<std::string, Route>;

  ConfigVersion version_;
  CallerLimits limits_;
  std::unordered_map<std::string, RoutesByPrefix> routes_by_host_;
  std::unordered_map<std::string, KeyGrant> grants_by_key_;
  std::map<PoolId, Pool> pools_;
  // In ascending order.
  std::set<Tier> route_tiers_;
  std::set<Tier> all_tiers_;
  std::size_t route_count_ = 0;
  bool has_customers_ = false;
};

class TrafficPolicy::Builder {
 public:
  explicit Builder(ConfigVersion version);

  Builder& SetLimits(const CallerLimits& limits);
  // Hosts are compared without regard to case or port.
  Builder& AddRoute(Route route);
  Builder& AddPool(Pool pool);
  // Declares that keys are required on routes that are not open to all.
  Builder& RequireKeys();
  Builder& AddKey(std::string key, KeyGrant grant);
  std::shared_ptr<const TrafficPolicy> Build();

 private:
  std::shared_ptr<TrafficPolicy> policy_;
};

// `host` as routes are looked up by it: lower case, without a port.
std::string NormalizeHost(std::string_view host);

}  // namespace bamboomount

#endif  // GATEWAY_TRAFFIC_TRAFFIC_POLICY_H_
