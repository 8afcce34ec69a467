#ifndef COMMAND_FLEET_SESSION_H_
#define COMMAND_FLEET_SESSION_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "admin/admin.h"
#include "command/fleet_options.h"
#include "command/report.h"

namespace bamboomount {

// Whether a change is in force on one instance, as that instance reports it.
struct InForceStatus {
  InstanceId instance;
  std::string admin_address;
  bool in_force = false;
  // Its position in the change log; empty if it did not respond.
  std::optional<ChangeSequence> sequence;
  // "log" or "emergency" for the way the change arrived, or why it is not in
  // force.
  std::string detail;
};

// Sends the requests of one command to the instances of the fleet.
class FleetSession {
 public:
  explicit FleetSession(FleetAccess access) : access_(std::move(access)) {}

  // A client for the first server that responds. Fails with the error of the
  // last server, or at once with kUnknownKey if a server rejects the token.
  Result<AdminClient> FirstReachableClient() const;
  AdminClient ClientFor(const std::string& address) const;

  // Calls `visit` for every instance, on several threads, and returns after the
  // last call. `visit` must be thread-safe.
  using Visit = std::function<void(std::size_t index, const InstanceStatus&)>;
  void ForEachInstance(const std::vector<InstanceStatus>& instances,
                       const Visit& visit) const;

  // Polls every instance until changes up to `sequence` are in force there or
  // FleetAccess::wait is over. One result per instance, in the same order.
  std::vector<InForceStatus> WaitUntilInForce(
      const std::vector<InstanceStatus>& instances,
      ChangeSequence sequence) const;
  // As WaitUntilInForce, for the withdrawal of `key`. Sends the withdrawal
  // directly to each instance that lags after half of the wait, or to all
  // instances if `sequence` is empty, because it is not in the change log yet.
  std::vector<InForceStatus> WaitUntilWithdrawn(
      const std::vector<InstanceStatus>& instances,
      const KeyId& key,
      std::optional<ChangeSequence> sequence) const;

  const FleetAccess& access() const { return access_; }

 private:
  InForceStatus WaitForInstance(const InstanceStatus& instance,
                                ChangeSequence sequence,
                                Millis wait) const;
  InForceStatus WithdrawDirectly(const InstanceStatus& instance,
                                 const KeyId& key) const;

  FleetAccess access_;
};

ReportTable InForceTable(const std::vector<InForceStatus>& lines);
// kSuccess if the change is in force on every instance, else kNotInForce.
ExitCode InForceExitCode(const std::vector<InForceStatus>& lines);

}  // namespace bamboomount

#endif  // COMMAND_FLEET_SESSION_H_
