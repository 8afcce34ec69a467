#include "gateway/gateway_state.h"

#include <utility>

namespace bamboomount {
namespace {

// Covers the way of a request from the check to the backend server.
constexpr Millis kKeyMargin{250};

}  // namespace

void GatewayState::Reload(const InstanceSettings& settings) {
  settings_.config_deadline = settings.config_deadline;
  settings_.key_withdrawal_deadline = settings.key_withdrawal_deadline;
  settings_.refuse_keys_when_stale = settings.refuse_keys_when_stale;
  settings_.stop_deadline = settings.stop_deadline;
  settings_.max_address_lifetime = settings.max_address_lifetime;
  settings_.retry_limits = settings.retry_limits;
}

bool GatewayState::Apply(std::shared_ptr<const TrafficPolicy> policy) {
  if (policy_ && policy->version() <= policy_->version())
    return false;
  policy_ = std::move(policy);
  return true;
}

bool GatewayState::KeysAreCurrent(Instant now) const {
  if (!settings_.refuse_keys_when_stale)
    return freshness_.Age(now).has_value();
  return freshness_.IsWithin(settings_.key_withdrawal_deadline - kKeyMargin,
                             now);
}

bool GatewayState::RefusalsAreCurrent(Instant now) const {
  return freshness_.IsWithin(settings_.config_deadline, now);
}

Millis GatewayState::WallTime(Instant now) const {
  const auto offset = members_.WallOffset();
  const auto store_time = freshness_.StoreTimeAt(now);
  if (offset && store_time)
    return *store_time + *offset;
  return std::chrono::duration_cast<Millis>(
      std::chrono::system_clock::now().time_since_epoch());
}

}  // namespace bamboomount
