#include "router_operations.h"

#include "controller/controller.h"
#include "usage_lines.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace bamboomount {
namespace {

constexpr Millis kAcknowledgmentPollInterval{20};
constexpr Millis kWithdrawalLogTimeout{2000};
constexpr Millis kLeaseReadTimeout{500};

Millis ToMillis(BootTime time) {
  return std::chrono::duration_cast<Millis>(time);
}

InstanceCondition ToCondition(const RosterMember& member) {
  if (member.leaving)
    return InstanceCondition::kLeaving;
  return member.state == PeerState::kSuspected ? InstanceCondition::kSuspected
                                               : InstanceCondition::kLive;
}

}  // namespace

RouterOperations::RouterOperations(
    const RouterOperationsDependencies& dependencies)
    : dependencies_(dependencies),
      changes_(
          dependencies.log,
          dependencies.holder,
          dependencies.follower,
          [this](const Change& change) {
            dependencies_.peers.PushChange(
                {change.sequence, EncodeChange(change)});
          },
          [this](const KeyId& key, Millis timeout) {
            return PropagateWithdrawal(key, timeout);
          }) {}

FleetStatus RouterOperations::Status() {
  FleetStatus status;
  status.self = Position();
  status.instances = InstanceStatuses();
  status.backends = BackendStatuses();
  status.store_answers = dependencies_.follower.store_reachable();
  status.emergency_withdrawals = changes_.UnloggedWithdrawals();
  const auto lease = ReadLease(dependencies_.table, kLeaseReadTimeout);
  if (lease && lease.value())
    status.lease = LeaseStatus{lease.value()->holder, lease.value()->token};
  return status;
}

HealthStatus RouterOperations::Health() {
  if (dependencies_.is_leaving())
    return {false, "leaving"};
  if (dependencies_.follower.freshness() == Freshness::kStale)
    return {false, "the state cannot be confirmed"};
  return {true, "serving"};
}

std::string RouterOperations::MetricsText() {
  return dependencies_.metrics.ToPrometheusText();
}

Result<ConfigReply> RouterOperations::Config(
    std::optional<ConfigVersion> version,
    Millis timeout) {
  return changes_.Config(version, timeout);
}

Result<std::vector<ConfigVersionEntry>> RouterOperations::ConfigHistory(
    Millis timeout) {
  return changes_.ConfigHistory(timeout);
}

Result<ChangeReply> RouterOperations::ApplyConfig(
    const ApplyConfigRequest& request,
    Millis timeout) {
  return changes_.ApplyConfig(request, timeout);
}

KeyListing RouterOperations::Keys() {
  return changes_.Keys();
}

Result<ChangeReply> RouterOperations::GrantKey(const GrantKeyRequest& request,
                                               Millis timeout) {
  return changes_.GrantKey(request, timeout);
}

Result<WithdrawKeyReply> RouterOperations::WithdrawKey(
    const WithdrawKeyRequest& request,
    Millis timeout) {
  return changes_.WithdrawKey(request, timeout);
}

Result<ChangeReply> RouterOperations::DrainInstance(const DrainRequest& request,
                                                    Millis timeout) {
  return changes_.DrainInstance(request, timeout);
}

std::vector<Span> RouterOperations::Trace(const std::string& trace_id) {
  return dependencies_.spans.FindTrace(trace_id);
}

Result<std::vector<UsageLine>> RouterOperations::Usage(int windows,
                                                       Millis timeout) {
  return ReadUsage(dependencies_.table, windows, timeout);
}

void RouterOperations::LogEmergencyWithdrawals() {
  if (!dependencies_.follower.store_reachable() ||
      changes_.UnloggedWithdrawals().empty())
    return;
  // After a failure the next call retries.
  static_cast<void>(changes_.LogEmergencyWithdrawals(kWithdrawalLogTimeout));
}

InstanceStatus RouterOperations::Position() {
  const auto state = dependencies_.holder.current();
  InstanceStatus self;
  self.instance = dependencies_.settings.instance;
  self.zone = dependencies_.settings.zone;
  self.address = dependencies_.settings.listen_address;
  self.admin_address = dependencies_.settings.admin_address;
  self.condition = dependencies_.is_leaving() ? InstanceCondition::kLeaving
                                              : InstanceCondition::kLive;
  self.sequence = state->sequence;
  self.config_version = state->config_version;
  self.freshness = dependencies_.follower.freshness();
  if (const auto age = dependencies_.follower.confirmation_age())
    self.confirmation_age = ToMillis(*age);
  return self;
}

std::vector<InstanceStatus> RouterOperations::InstanceStatuses() {
  const DirectoryListing listing = dependencies_.directory.last();
  std::vector<InstanceStatus> statuses;
  for (const RosterMember& member : dependencies_.peers.Members()) {
    if (member.instance == dependencies_.settings.instance) {
      statuses.push_back(Position());
      continue;
    }
    InstanceStatus status;
    status.instance = member.instance;
    status.condition = ToCondition(member);
    status.sequence = member.sequence;
    const auto listed = std::find_if(
        listing.instances.begin(), listing.instances.end(),
        [&](const auto& entry) { return entry.instance == member.instance; });
    if (listed != listing.instances.end()) {
      status.zone = listed->zone;
      status.address = listed->address;
      status.admin_address = listed->admin_address;
    }
    statuses.push_back(std::move(status));
  }
  return statuses;
}

std::vector<BackendStatus> RouterOperations::BackendStatuses() const {
  const auto config = dependencies_.holder.current()->config;
  const DirectoryListing listing = dependencies_.directory.last();
  std::vector<BackendStatus> statuses;
  for (const BackendRule& rule : config->backends) {
    BackendStatus status;
    status.backend = rule.backend;
    status.zone = rule.zone;
    status.pool = rule.pool;
    status.kind = rule.kind;
    status.slots = rule.slots;
    const bool leaving =
        std::any_of(listing.backends.begin(), listing.backends.end(),
                    [&](const auto& entry) {
                      return entry.backend == rule.backend &&
                             entry.state == ListedState::kLeaving;
                    });
    if (leaving)
      status.condition = BackendCondition::kLeaving;
    statuses.push_back(std::move(status));
  }
  return statuses;
}

WithdrawalPropagation RouterOperations::PropagateWithdrawal(const KeyId& key,
                                                            Millis timeout) {
  dependencies_.peers.PushWithdrawals();
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  WithdrawalPropagation propagation;
  propagation.listed = dependencies_.peers.CountLiveWithin(timeout).listed;
  while (true) {
    const auto reached = dependencies_.peers.AcknowledgedBy(key);
    propagation.reached.assign(reached.begin(), reached.end());
    const bool majority =
        static_cast<int>(reached.size()) * 2 > propagation.listed;
    if (majority || std::chrono::steady_clock::now() >= deadline)
      return propagation;
    std::this_thread::sleep_for(kAcknowledgmentPollInterval);
  }
}

}  // namespace bamboomount
