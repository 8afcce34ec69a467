#include "gateway/traffic/traffic_policy.h"

#include <algorithm>
#include <cctype>
#include <iterator>
#include <utility>

namespace bamboomount {

const Route* TrafficPolicy::FindRoute(const std::string& host,
                                      std::string_view path) const {
  const auto routes = routes_by_host_.find(NormalizeHost(host));
  if (routes == routes_by_host_.end())
    return nullptr;
  std::size_t slash = path.rfind('/');
  while (slash != std::string_view::npos) {
    const auto route =
        routes->second.find(std::string(path.substr(0, slash + 1)));
    if (route != routes->second.end())
      return &route->second;
    if (slash == 0)
      break;
    slash = path.rfind('/', slash - 1);
  }
  return nullptr;
}

RegionLimit TrafficPolicy::RegionsOf(const std::string& host) const {
  RegionLimit regions;
  const auto routes = routes_by_host_.find(NormalizeHost(host));
  if (routes == routes_by_host_.end())
    return regions;
  std::set<RegionId> allowed;
  for (const auto& [prefix, route] : routes->second) {
    if (route.allowed_regions.empty())
      return regions;
    allowed.insert(route.allowed_regions.begin(), route.allowed_regions.end());
  }
  regions.RestrictTo(allowed);
  return regions;
}

Tier TrafficPolicy::Urgency(const Route& route,
                            const std::optional<Tier>& customer) const {
  const auto rank = [](const std::set<Tier>& tiers, Tier tier) {
    return static_cast<int>(
        std::distance(tiers.begin(), tiers.lower_bound(tier)));
  };
  const int first = rank(all_tiers_, customer.value_or(route.tier));
  return Tier(first * static_cast<int>(route_tiers_.size()) +
              rank(route_tiers_, route.tier));
}

int TrafficPolicy::urgency_levels() const {
  return static_cast<int>(all_tiers_.size() * route_tiers_.size());
}

const KeyGrant* TrafficPolicy::FindKey(const std::string& key) const {
  const auto grant = grants_by_key_.find(key);
  return grant == grants_by_key_.end() ? nullptr : &grant->second;
}

const Pool* TrafficPolicy::FindPool(const PoolId& id) const {
  const auto pool = pools_.find(id);
  return pool == pools_.end() ? nullptr : &pool->second;
}

TrafficPolicy::Builder::Builder(ConfigVersion version)
    : policy_(std::make_shared<TrafficPolicy>()) {
  policy_->version_ = version;
}

TrafficPolicy::Builder& TrafficPolicy::Builder::SetLimits(
    const CallerLimits& limits) {
  policy_->limits_ = limits;
  return *this;
}

TrafficPolicy::Builder& TrafficPolicy::Builder::AddRoute(Route route) {
  const std::string host = NormalizeHost(route.host);
  const std::string prefix = route.prefix;
  policy_->route_tiers_.insert(route.tier);
  policy_->all_tiers_.insert(route.tier);
  policy_->routes_by_host_[host].insert_or_assign(prefix, std::move(route));
  ++policy_->route_count_;
  return *this;
}

TrafficPolicy::Builder& TrafficPolicy::Builder::AddPool(Pool pool) {
  const PoolId id = pool.id;
  policy_->pools_.insert_or_assign(id, std::move(pool));
  return *this;
}

TrafficPolicy::Builder& TrafficPolicy::Builder::RequireKeys() {
  policy_->has_customers_ = true;
  return *this;
}

TrafficPolicy::Builder& TrafficPolicy::Builder::AddKey(std::string key,
                                                       KeyGrant grant) {
  if (grant.tier)
    policy_->all_tiers_.insert(*grant.tier);
  policy_->grants_by_key_.insert_or_assign(std::move(key), std::move(grant));
  return RequireKeys();
}

std::shared_ptr<const TrafficPolicy> TrafficPolicy::Builder::Build() {
  return std::move(policy_);
}

std::string NormalizeHost(std::string_view host) {
  std::string normal(host.substr(0, host.find(':')));
  std::transform(normal.begin(), normal.end(), normal.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return normal;
}

}  // namespace bamboomount
