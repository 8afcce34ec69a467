#include "gateway/gateway_state.h"

#include <algorithm>
#include <utility>

namespace bamboomount {
namespace {

// Covers the time between the check of a key and the arrival of the request at
// the backend server.
constexpr Millis kKeyCheckMargin{250};

}  // namespace

void GatewayState::ApplyReloadedSettings(const InstanceSettings& settings) {
  settings_.config_deadline = settings.config_deadline;
  settings_.key_withdrawal_deadline = settings.key_withdrawal_deadline;
  settings_.refuse_keys_when_stale = settings.refuse_keys_when_stale;
  settings_.stop_deadline = settings.stop_deadline;
  settings_.max_address_lifetime = settings.max_address_lifetime;
  settings_.retry_limits = settings.retry_limits;
}

bool GatewayState::ApplyPolicy(std::shared_ptr<const TrafficPolicy> policy) {
  if (policy_ && policy->version() <= policy_->version())
    return false;
  policy_ = std::move(policy);
  return true;
}

bool GatewayState::KeysAreCurrent(Instant now) const {
  if (!settings_.refuse_keys_when_stale)
    return freshness_.Age(now).has_value();
  return freshness_.IsConfirmedWithin(
      settings_.key_withdrawal_deadline - kKeyCheckMargin, now);
}

bool GatewayState::ConfigIsCurrent(Instant now) const {
  return freshness_.IsConfirmedWithin(settings_.config_deadline, now);
}

void GatewayState::ConfirmBackends(Instant sent, Millis store_time) {
  backend_freshness_.Confirm(sent, store_time);
  RecordBackendsConfirmed();
}

void GatewayState::ConfirmBackendsByPeer(Millis store_time, Instant now) {
  backend_freshness_.ConfirmByPeer(store_time, now);
  RecordBackendsConfirmed();
}

void GatewayState::RecordBackendsConfirmed() {
  if (const auto confirmed_at = backend_freshness_.ConfirmedAt())
    pool_versions_.RecordConfirmed(*confirmed_at);
}

void GatewayState::RecordRunning(Instant now) {
  if (last_running_ && now - *last_running_ > kMaxPause)
    woken_at_ = now;
  last_running_ = now;
}

bool GatewayState::BackendVersionsAreCurrent(Instant now) const {
  if (backends_.MayLackRows(now))
    return false;
  if (last_running_ && now - *last_running_ > kMaxPause)
    return false;
  if (woken_at_ && backend_freshness_.ConfirmedAt() < woken_at_)
    return false;
  return backend_freshness_.IsConfirmedWithin(
      PoolVersionHistory::kMaxUnconfirmed, now);
}

void GatewayState::RecordCommitResult(const Result<CommitResponse>& response) {
  store_writes_succeed_ = static_cast<bool>(response);
  if (!response)
    return;
  const StoreResponseInfo& info = response.value().info;
  freshness_.RecordStoreTime(info.sent, info.store_time);
  backend_freshness_.RecordStoreTime(info.sent, info.store_time);
}

void GatewayState::RecordStoreRecovery(Millis store_time, Instant now) {
  if (store_time <= store_recovery_time_)
    return;
  store_recovery_time_ = store_time;
  backends_.OnStoreRecovered(
      backend_freshness_.LocalTime(store_time).value_or(now));
}

void GatewayState::RecordStoreRestore(Millis store_time, Instant now) {
  store_recovery_time_ = std::max(store_recovery_time_, store_time);
  backends_.OnStoreRestored(now);
}

void GatewayState::ExpireBackends(Instant now) {
  const std::uint64_t before = backends_.revision();
  backends_.Expire(now);
  if (before != backends_.revision())
    pool_versions_.SetListed(backends_.ListedVersions(), now);
}

void GatewayState::OnReportedStoreRecovery(Millis store_time, Instant now) {
  if (store_time <= reported_recovery_time_)
    return;
  reported_recovery_time_ = store_time;
  if (!backend_freshness_.WasConfirmedBetween(store_time - kMinOutageDuration,
                                              store_time))
    RecordStoreRecovery(store_time, now);
}

WindowNumber GatewayState::LastEndedWindow(Instant now) const {
  return WindowAt(WallTime(now), settings_.usage_window) - WindowNumber(1);
}

IncarnationUsage GatewayState::LocalUsage(Instant now) const {
  return {settings_.instance, LastEndedWindow(now), usage_.windows()};
}

void GatewayState::RecordPeerUsage(const Incarnation& incarnation,
                                   IncarnationUsage reported_usage) {
  const WindowNumber oldest = reported_usage.complete_through -
                              WindowNumber(UsageLedger::kRetainedWindows);
  peer_usage_.Put(incarnation.value(), std::move(reported_usage));
  peer_usage_.DropOutdated(oldest);
}

std::optional<Millis> GatewayState::LocalWallClockOffset(Instant now) const {
  const auto store_time = freshness_.StoreTimeAt(now);
  if (!store_time)
    return std::nullopt;
  return std::chrono::duration_cast<Millis>(
             std::chrono::system_clock::now().time_since_epoch()) -
         *store_time;
}

Millis GatewayState::WallTime(Instant now) const {
  const auto store_time = freshness_.StoreTimeAt(now);
  const auto local_offset = LocalWallClockOffset(now);
  if (store_time && local_offset)
    return *store_time + members_.MedianWallOffset(*local_offset, now);
  return std::chrono::duration_cast<Millis>(
      std::chrono::system_clock::now().time_since_epoch());
}

}  // namespace bamboomount
