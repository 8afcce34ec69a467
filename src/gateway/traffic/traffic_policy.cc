#include "gateway/traffic/traffic_policy.h"

#include <algorithm>
#include <cctype>
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
