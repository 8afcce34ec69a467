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
struct InForce {
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
  Result<AdminClient> Entry() const;
  AdminClient ClientFor(const std::string& address) const;

  // Runs `visit` for every instance that `entry` lists, several at a time.
  using Visit = std::function<void(std::size_t index, const InstanceStatus&)>;
  void ForEach(const std::vector<InstanceStatus>& instances,
               const Visit& visit) const;

  // Asks every instance until the change log is in force there up to
  // `sequence` or the time is over.
  std::vector<InForce> WaitInForce(const std::vector<InstanceStatus>& instances,
                                   ChangeSequence sequence) const;
  // Like WaitInForce for the withdrawal of `key`. An instance that lags, and
  // every instance if the log does not have the withdrawal yet, gets it
  // directly.
  std::vector<InForce> WaitWithdrawn(
      const std::vector<InstanceStatus>& instances,
      const KeyId& key,
      std::optional<ChangeSequence> sequence) const;

  const FleetAccess& access() const { return access_; }

 private:
  InForce WaitOne(const InstanceStatus& instance,
                  ChangeSequence sequence,
                  Millis wait) const;
  InForce WithdrawDirectly(const InstanceStatus& instance,
                           const KeyId& key) const;

  FleetAccess access_;
};

ReportTable InForceTable(const std::vector<InForce>& lines);
// kSuccess, or kNotInForce if a line is not in force.
ExitCode InForceExit(const std::vector<InForce>& lines);

}  // namespace bamboomount

#endif  // COMMAND_FLEET_SESSION_H_
