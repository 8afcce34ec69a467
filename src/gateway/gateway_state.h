#ifndef GATEWAY_GATEWAY_STATE_H_
#define GATEWAY_GATEWAY_STATE_H_

#include <memory>
#include <optional>
#include <random>

#include "gateway/admission/admission_controller.h"
#include "gateway/admission/request_cost_model.h"
#include "gateway/boot_clock.h"
#include "gateway/control/async_table_store.h"
#include "gateway/duties/incarnation_usage.h"
#include "gateway/duties/usage_delivery.h"
#include "gateway/duties/usage_ledger.h"
#include "gateway/instance_settings.h"
#include "gateway/membership/backend_registry.h"
#include "gateway/membership/member_registry.h"
#include "gateway/membership/state_freshness.h"
#include "gateway/placement/backend_loads.h"
#include "gateway/placement/backend_selector.h"
#include "gateway/placement/brittle_servers.h"
#include "gateway/placement/cold_server_pacer.h"
#include "gateway/placement/poison_part_detector.h"
#include "gateway/streams/pool_version_history.h"
#include "gateway/streams/stream_origin_table.h"
#include "gateway/traffic/traffic_policy.h"

namespace bamboomount {

// The state of one instance: the configuration, the backend servers, the other
// instances, and how recent this information is. Not thread-safe.
class GatewayState {
 public:
  explicit GatewayState(const InstanceSettings& settings)
      : settings_(settings) {}
  // Minimum duration of a store outage after which rows of live servers may
  // have expired. After a shorter outage, or one in which other instances still
  // reached the store, they have not.
  static constexpr Millis kMinOutageDuration{1500};
  // The instance stood still if it did nothing for longer than this. Shorter
  // than the restart of a backend server, and longer than timers are late on a
  // busy machine.
  static constexpr Millis kMaxPause{500};

  GatewayState(const GatewayState&) = delete;
  GatewayState& operator=(const GatewayState&) = delete;

  const InstanceSettings& settings() const { return settings_; }
  // Applies the limits that may change at run time. Addresses and names keep
  // their values from the start.
  void ApplyReloadedSettings(const InstanceSettings& settings);
  // Sets the address that callers are given, with the port that is actually
  // bound.
  void SetCallerAddress(const std::string& address) {
    settings_.caller_address = address;
  }
  // Sets the address that other instances use, with the port that is actually
  // bound.
  void SetPeerAddress(const std::string& address) {
    settings_.peer_address = address;
  }
  // Null until the first configuration has been applied.
  const std::shared_ptr<const TrafficPolicy>& policy() const { return policy_; }
  // Applies a configuration unless the same or a newer version is in effect.
  // Returns whether it was applied.
  bool ApplyPolicy(std::shared_ptr<const TrafficPolicy> policy);

  // How recent the configuration is; backend_freshness is the same for the list
  // of backend servers.
  StateFreshness& freshness() { return freshness_; }
  const StateFreshness& freshness() const { return freshness_; }
  StateFreshness& backend_freshness() { return backend_freshness_; }
  const StateFreshness& backend_freshness() const { return backend_freshness_; }
  // Records the outcome of a write to the store, and the store's clock if the
  // write was answered.
  void RecordCommitResult(const Result<CommitResponse>& response);
  // Sets whether the replicas of the store's tables get responses from the
  // store.
  void SetStoreReadsSucceed(bool succeed) { store_reads_succeed_ = succeed; }
  // Whether this instance's latest reads and writes at the store got responses.
  bool store_reachable() const {
    return store_reads_succeed_ && store_writes_succeed_;
  }
  // Whether this instance reaches backend servers, as far as it knows.
  bool reaches_servers() const { return reaches_servers_; }
  void SetReachesServers(bool reaches) { reaches_servers_ = reaches; }
  // Records that the store recovered from an outage when its clock read
  // `store_time`. Rows of live backend servers may have expired during the
  // outage.
  void RecordStoreRecovery(Millis store_time, Instant now);
  // Records that the list of backend servers was read from a store that came
  // back from an older copy. `store_time` is its clock at that read.
  void RecordStoreRestore(Millis store_time, Instant now);
  // Handles another instance's report of such a recovery. Ignores it if the
  // store answered during the alleged outage: the other instance was paused or
  // cut off, and no row has expired.
  void OnReportedStoreRecovery(Millis store_time, Instant now);
  // The store's clock at its latest recovery; 0 if no outage is known.
  Millis store_recovery_time() const { return store_recovery_time_; }
  // Expires what the registry of the backend servers keeps for a time, and
  // records the software versions of servers that are listed by that.
  void ExpireBackends(Instant now);
  BackendRegistry& backends() { return backends_; }
  const BackendRegistry& backends() const { return backends_; }
  MemberRegistry& members() { return members_; }
  const MemberRegistry& members() const { return members_; }
  BackendLoads& loads() { return loads_; }
  ServerHealth& health() { return health_; }
  PrefillThroughput& prefill_throughput() { return prefill_throughput_; }
  BackendSelector& selector() { return selector_; }
  ColdServerPacer& cold_pacer() { return cold_pacer_; }
  BrittleServers& brittle_servers() { return brittle_servers_; }
  PoisonPartDetector& poison_parts() { return poison_parts_; }
  StreamOriginTable& stream_origins() { return stream_origins_; }
  PoolVersionHistory& pool_versions() { return pool_versions_; }
  const PoolVersionHistory& pool_versions() const { return pool_versions_; }
  DemandMeter& demand_meter() { return demand_meter_; }
  FleetDemand& fleet_demand() { return fleet_demand_; }
  RequestCostModel& cost_model() { return cost_model_; }
  AdmissionController& admission() { return admission_; }
  UsageLedger& usage() { return usage_; }
  // The latest usage window that has ended.
  WindowNumber LastEndedWindow(Instant now) const;
  // Usage of the requests that this instance caused to run.
  IncarnationUsage LocalUsage(Instant now) const;
  UsageDelivery& usage_delivery() { return usage_delivery_; }
  const UsageDelivery& usage_delivery() const { return usage_delivery_; }
  // Usage that other instances sent to this one by gossip. Most of it is never
  // written to the store.
  const UsageByIncarnation& peer_usage() const { return peer_usage_; }
  // Adds usage that another instance reported and drops windows that are no
  // longer kept.
  void RecordPeerUsage(const Incarnation& incarnation,
                       IncarnationUsage reported_usage);

  // Whether requests with a customer's key may be served. False if a key that
  // was withdrawn longer ago than the deadline might still be accepted.
  bool KeysAreCurrent(Instant now) const;
  // Whether the configuration is recent enough that an unknown route or key is
  // not merely a new one.
  bool ConfigIsCurrent(Instant now) const;
  // Records that the list of backend servers holds all changes up to a response
  // of the store to a call that was sent at `sent`.
  void ConfirmBackends(Instant sent, Millis store_time);
  // Records the same of the store's time `store_time`, according to another
  // instance.
  void ConfirmBackendsByPeer(Millis store_time, Instant now);
  // Whether the list of backend servers is so recent that a server still has
  // the software version in it. False after the instance has stood still, until
  // the list is confirmed as of a later time.
  bool BackendVersionsAreCurrent(Instant now) const;
  // Called at least every kMaxPause / 2, so that a time in which the instance
  // stood still is noticed.
  void RecordRunning(Instant now);
  // Whether the configuration and the list of backend servers have been loaded.
  bool IsReady() const { return policy_ && backends_loaded_; }
  void MarkBackendsLoaded() { backends_loaded_ = true; }

  // Time since the Unix epoch by the median clock of the instances, so that a
  // wrong local clock does not move usage to other windows.
  Millis WallTime(Instant now) const;
  // The local wall clock minus the store's steady clock; empty before the first
  // response of the store.
  std::optional<Millis> LocalWallClockOffset(Instant now) const;

 private:
  void RecordBackendsConfirmed();

  InstanceSettings settings_;
  std::shared_ptr<const TrafficPolicy> policy_;
  StateFreshness freshness_;
  StateFreshness backend_freshness_;
  Millis store_recovery_time_{0};
  // The latest recovery that another instance has reported.
  Millis reported_recovery_time_{0};
  bool store_reads_succeed_ = true;
  bool store_writes_succeed_ = true;
  bool reaches_servers_ = true;
  BackendRegistry backends_;
  MemberRegistry members_;
  BackendLoads loads_;
  ServerHealth health_;
  PrefillThroughput prefill_throughput_;
  BackendSelector selector_{loads_, health_, prefill_throughput_};
  ColdServerPacer cold_pacer_{settings_.instance, members_};
  BrittleServers brittle_servers_{loads_, members_, std::random_device{}()};
  PoisonPartDetector poison_parts_;
  StreamOriginTable stream_origins_;
  PoolVersionHistory pool_versions_;
  DemandMeter demand_meter_;
  FleetDemand fleet_demand_;
  RequestCostModel cost_model_{prefill_throughput_};
  AdmissionController admission_{demand_meter_, fleet_demand_};
  UsageLedger usage_;
  UsageByIncarnation peer_usage_;
  UsageDelivery usage_delivery_;
  bool backends_loaded_ = false;
  std::optional<Instant> last_running_;
  // When the instance went on after it had stood still.
  std::optional<Instant> woken_at_;
};

}  // namespace bamboomount

#endif  // GATEWAY_GATEWAY_STATE_H_
