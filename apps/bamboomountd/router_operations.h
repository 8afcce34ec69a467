#ifndef APPS_BAMBOOMOUNTD_ROUTER_OPERATIONS_H_
#define APPS_BAMBOOMOUNTD_ROUTER_OPERATIONS_H_

#include <functional>

#include "admin/admin.h"
#include "config/config.h"
#include "directory_poller.h"
#include "peer/peer.h"
#include "state/state.h"
#include "telemetry/telemetry.h"

namespace bamboomount {

// What the operators' interface needs from the router process. The referenced
// objects must outlive it.
struct RouterOperationsDependencies {
  const ProcessSettings& settings;
  TableStore& table;
  ChangeLog& log;
  ControlStateHolder& holder;
  StateFollower& follower;
  PeerNode& peers;
  DirectoryPoller& directory;
  Metrics& metrics;
  SpanStore& spans;
  std::function<bool()> is_leaving;
};

// Answers the operators' interface from the dependencies of a router process.
class RouterOperations : public FleetOperations {
 public:
  explicit RouterOperations(const RouterOperationsDependencies& dependencies);

  FleetStatus Status() override;
  InstanceStatus Position() override;
  HealthStatus Health() override;
  std::string MetricsText() override;
  Result<ConfigReply> Config(std::optional<ConfigVersion> version,
                             Millis timeout) override;
  Result<std::vector<ConfigVersionEntry>> ConfigHistory(
      Millis timeout) override;
  Result<ChangeReply> ApplyConfig(const ApplyConfigRequest& request,
                                  Millis timeout) override;
  KeyListing Keys() override;
  Result<ChangeReply> GrantKey(const GrantKeyRequest& request,
                               Millis timeout) override;
  Result<WithdrawKeyReply> WithdrawKey(const WithdrawKeyRequest& request,
                                       Millis timeout) override;
  Result<ChangeReply> DrainInstance(const DrainRequest& request,
                                    Millis timeout) override;
  std::vector<Span> Trace(const std::string& trace_id) override;
  Result<std::vector<UsageLine>> Usage(int windows, Millis timeout) override;

  // Writes emergency withdrawals to the log once the store answers again.
  void LogEmergencyWithdrawals();

 private:
  std::vector<InstanceStatus> InstanceStatuses();
  std::vector<BackendStatus> BackendStatuses() const;
  WithdrawalPropagation PropagateWithdrawal(const KeyId& key, Millis timeout);

  const RouterOperationsDependencies dependencies_;
  ChangeOperations changes_;
};

}  // namespace bamboomount

#endif  // APPS_BAMBOOMOUNTD_ROUTER_OPERATIONS_H_
