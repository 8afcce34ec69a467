#ifndef ADMIN_FLEET_OPERATIONS_H_
#define ADMIN_FLEET_OPERATIONS_H_

#include <optional>
#include <string>
#include <vector>

#include "admin/operator_messages.h"
#include "base/base.h"
#include "telemetry/telemetry.h"

namespace bamboomount {

// What the operators' interface asks of the process that it is part of. Calls
// with a timeout may block for that long; the others answer from memory. All
// are called from several threads. Errors as in ChangeLog.
class FleetOperations {
 public:
  virtual ~FleetOperations() = default;

  virtual FleetStatus Status() = 0;
  // This instance alone; operators ask it often while they wait for a change.
  virtual InstanceStatus Position() = 0;
  virtual HealthStatus Health() = 0;
  // Prometheus text exposition format.
  virtual std::string MetricsText() = 0;

  // The configuration in force here, or an earlier version.
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

  // Spans of one trace that this instance keeps.
  virtual std::vector<Span> Trace(const std::string& trace_id) = 0;
  // Usage of the last `windows` windows, oldest first.
  virtual Result<std::vector<UsageLine>> Usage(int windows, Millis timeout) = 0;
};

}  // namespace bamboomount

#endif  // ADMIN_FLEET_OPERATIONS_H_
