#ifndef ADMIN_FLEET_OPERATIONS_H_
#define ADMIN_FLEET_OPERATIONS_H_

#include <optional>
#include <string>
#include <vector>

#include "admin/operator_messages.h"
#include "base/base.h"
#include "telemetry/telemetry.h"

namespace bamboomount {

// Operations that a process implements for the operators' interface. Those with
// a timeout may block for that long. Status may read the store briefly; the
// others answer from memory. Implementations must be thread-safe. Errors as in
// ChangeLog.
class FleetOperations {
 public:
  virtual ~FleetOperations() = default;

  virtual FleetStatus Status() = 0;
  // Status of this instance alone. Must be cheap: commands poll it while they
  // wait for a change to be in force.
  virtual InstanceStatus Position() = 0;
  virtual HealthStatus Health() = 0;
  // In the Prometheus text exposition format.
  virtual std::string MetricsText() = 0;

  // The configuration in force on this instance, or the given version.
  virtual Result<ConfigReply> Config(std::optional<ConfigVersion> version,
                                     Millis timeout) = 0;
  // The last 100 versions, oldest first.
  virtual Result<std::vector<ConfigVersionEntry>> ConfigHistory(
      Millis timeout) = 0;
  virtual Result<ChangeReply> ApplyConfig(const ApplyConfigRequest& request,
                                          Millis timeout) = 0;

  virtual KeyListing Keys() = 0;
  virtual Result<ChangeReply> GrantKey(const GrantKeyRequest& request,
                                       Millis timeout) = 0;
  virtual Result<WithdrawKeyReply> WithdrawKey(
      const WithdrawKeyRequest& request,
      Millis timeout) = 0;

  virtual Result<ChangeReply> DrainInstance(const DrainRequest& request,
                                            Millis timeout) = 0;

  // Spans of one trace that this instance has stored.
  virtual std::vector<Span> Trace(const std::string& trace_id) = 0;
  // Usage per customer in the last `windows` usage windows, oldest first.
  virtual Result<std::vector<UsageLine>> Usage(int windows, Millis timeout) = 0;
};

}  // namespace bamboomount

#endif  // ADMIN_FLEET_OPERATIONS_H_
