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
  return freshness_.IsConfirmedWithin(
      settings_.key_withdrawal_deadline - kKeyMargin, now);
}

bool GatewayState::RefusalsAreCurrent(Instant now) const {
  return freshness_.IsConfirmedWithin(settings_.config_deadline, now);
}

void GatewayState::NoteCommit(const Result<CommitResponse>& answer) {
  commits_reach_store_ = static_cast<bool>(answer);
  if (!answer)
    return;
  const StoreResponseInfo& info = answer.value().info;
  freshness_.RecordStoreTime(info.sent, info.store_time);
  backend_freshness_.RecordStoreTime(info.sent, info.store_time);
}

void GatewayState::NoteStoreBack(Millis store_time, Instant now) {
  if (store_time <= store_back_)
    return;
  store_back_ = store_time;
  backends_.OnStoreRecovered(
      backend_freshness_.LocalTime(store_time).value_or(now));
}

WindowNumber GatewayState::EndedWindow(Instant now) const {
  return WindowAt(WallTime(now), settings_.usage_window) - WindowNumber(1);
}

IncarnationUsage GatewayState::OwnUsage(Instant now) const {
  return {settings_.instance, EndedWindow(now), usage_.windows()};
}

void GatewayState::NoteToldUsage(const Incarnation& incarnation,
                                 IncarnationUsage part) {
  const WindowNumber oldest =
      part.complete_through - WindowNumber(UsageLedger::kRetainedWindows);
  told_usage_.Put(incarnation.value(), std::move(part));
  told_usage_.DropOutdated(oldest);
}

std::optional<Millis> GatewayState::OwnWallOffset(Instant now) const {
  const auto store_time = freshness_.StoreTimeAt(now);
  if (!store_time)
    return std::nullopt;
  return std::chrono::duration_cast<Millis>(
             std::chrono::system_clock::now().time_since_epoch()) -
         *store_time;
}

Millis GatewayState::WallTime(Instant now) const {
  const auto store_time = freshness_.StoreTimeAt(now);
  const auto own = OwnWallOffset(now);
  if (store_time && own)
    return *store_time + members_.MedianWallOffset(*own, now);
  return std::chrono::duration_cast<Millis>(
      std::chrono::system_clock::now().time_since_epoch());
}

}  // namespace bamboomount
