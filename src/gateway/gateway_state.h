#ifndef GATEWAY_GATEWAY_STATE_H_
#define GATEWAY_GATEWAY_STATE_H_

#include <memory>
#include <optional>

#include "gateway/boot_clock.h"
#include "gateway/control/async_table_store.h"
#include "gateway/duties/incarnation_usage.h"
#include "gateway/duties/usage_ledger.h"
#include "gateway/instance_settings.h"
#include "gateway/membership/backend_registry.h"
#include "gateway/membership/member_registry.h"
#include "gateway/membership/state_freshness.h"
#include "gateway/placement/backend_loads.h"
#include "gateway/placement/backend_selector.h"
#include "gateway/traffic/traffic_policy.h"

namespace bamboomount {

// What one instance knows: the configuration, the backend servers, the other
// instances, and how fresh that is. Used from one thread.
class GatewayState {
 public:
  explicit GatewayState(const InstanceSettings& settings)
      : settings_(settings) {}
  GatewayState(const GatewayState&) = delete;
  GatewayState& operator=(const GatewayState&) = delete;

  const InstanceSettings& settings() const { return settings_; }
  // Applies bounds that changed. Addresses and names stay as they were at the
  // start.
  void ApplyReloadedSettings(const InstanceSettings& settings);
  // The address that callers are told, with the port that is really in use.
  void SetCallerAddress(const std::string& address) {
    settings_.caller_address = address;
  }
  // The same for the address that other instances use.
  void SetPeerAddress(const std::string& address) {
    settings_.peer_address = address;
  }
  // Null before the first configuration was read.
  const std::shared_ptr<const TrafficPolicy>& policy() const { return policy_; }
  // Applies a configuration unless a newer one is in force. Returns whether it
  // was applied.
  bool ApplyPolicy(std::shared_ptr<const TrafficPolicy> policy);

  // How fresh the configuration is, and the list of backend servers.
  StateFreshness& freshness() { return freshness_; }
  const StateFreshness& freshness() const { return freshness_; }
  StateFreshness& backend_freshness() { return backend_freshness_; }
  // Notes how a write to the store ended.
  void RecordCommitResult(const Result<CommitResponse>& answer);
  // Whether the calls that follow the store's tables get answers.
  void SetStoreReadsSucceed(bool succeed) { store_reads_succeed_ = succeed; }
  // Whether this instance's last calls to the store got answers.
  bool store_reachable() const {
    return store_reads_succeed_ && store_writes_succeed_;
  }
  // The store came back from an outage, in which rows of live backend servers
  // may have lapsed, when its clock read `store_time`.
  void RecordStoreRecovery(Millis store_time, Instant now);
  // The store's clock when it last came back; 0 if it never was away.
  Millis store_recovery_time() const { return store_recovery_time_; }
  BackendRegistry& backends() { return backends_; }
  const BackendRegistry& backends() const { return backends_; }
  MemberRegistry& members() { return members_; }
  const MemberRegistry& members() const { return members_; }
  BackendLoads& loads() { return loads_; }
  ServerHealth& health() { return health_; }
  PrefillThroughput& read_speed() { return read_speed_; }
  BackendSelector& selector() { return selector_; }
  UsageLedger& usage() { return usage_; }
  // The newest usage window that has ended.
  WindowNumber LastEndedWindow(Instant now) const;
  // What began to run at this instance's word.
  IncarnationUsage LocalUsage(Instant now) const;
  // What other instances told of their usage and may not have written to the
  // store: their processes may end before they do.
  const UsageByIncarnation& peer_usage() const { return peer_usage_; }
  void RecordPeerUsage(const Incarnation& incarnation, IncarnationUsage part);

  // Whether a request with a customer's key may be served: a key that was
  // withdrawn longer ago than the deadline must not work.
  bool KeysAreCurrent(Instant now) const;
  // Whether an unknown route or key is surely not a new one.
  bool ConfigIsCurrent(Instant now) const;
  // The configuration and the backend servers have been read.
  bool IsReady() const { return policy_ && backends_loaded_; }
  void MarkBackendsLoaded() { backends_loaded_ = true; }

  // Time since the start of 1970 by the median clock of the instances, so that
  // a clock that is wrong here does not move usage to other windows.
  Millis WallTime(Instant now) const;
  // This instance's clock less the store's steady clock; empty before the first
  // answer of the store.
  std::optional<Millis> LocalWallClockOffset(Instant now) const;

 private:
  InstanceSettings settings_;
  std::shared_ptr<const TrafficPolicy> policy_;
  StateFreshness freshness_;
  StateFreshness backend_freshness_;
  Millis store_recovery_time_{0};
  bool store_reads_succeed_ = true;
  bool store_writes_succeed_ = true;
  BackendRegistry backends_;
  MemberRegistry members_;
  BackendLoads loads_;
  ServerHealth health_;
  PrefillThroughput read_speed_;
  BackendSelector selector_{loads_, health_, read_speed_};
  UsageLedger usage_;
  UsageByIncarnation peer_usage_;
  bool backends_loaded_ = false;
};

}  // namespace bamboomount

#endif  // GATEWAY_GATEWAY_STATE_H_
