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

// Whether a change is in force on one instance, by its own word.
struct InForceStatus {
  InstanceId instance;
  std::string admin_address;
  bool in_force = false;
  // Position of the log there, if it answered.
  std::optional<ChangeSequence> sequence;
  // "log", "emergency", or why it is not in force.
  std::string detail;
};

// Requests of one command to the fleet.
class FleetSession {
 public:
  explicit FleetSession(FleetAccess access) : access_(std::move(access)) {}

  // The first of the named instances that answers. Fails with the error of the
  // last one, or at once if the token is refused.
  Result<AdminClient> FirstReachableClient() const;
  AdminClient ClientFor(const std::string& address) const;

  // Runs `visit` for every instance that `entry` lists, several at a time.
  using Visit = std::function<void(std::size_t index, const InstanceStatus&)>;
  void ForEachInstance(const std::vector<InstanceStatus>& instances,
                       const Visit& visit) const;

  // Asks every instance until the change log is in force there up to
  // `sequence` or the time is over.
  std::vector<InForceStatus> WaitUntilInForce(
      const std::vector<InstanceStatus>& instances,
      ChangeSequence sequence) const;
  // Like WaitUntilInForce for the withdrawal of `key`. An instance that lags,
  // and every instance if the log does not have the withdrawal yet, gets it
  // directly.
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
// kSuccess, or kNotInForce if a line is not in force.
ExitCode InForceExitCode(const std::vector<InForceStatus>& lines);

}  // namespace bamboomount

#endif  // COMMAND_FLEET_SESSION_H_
