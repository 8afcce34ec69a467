#ifndef ADMIN_CHANGE_OPERATIONS_H_
#define ADMIN_CHANGE_OPERATIONS_H_

#include <functional>
#include <optional>
#include <vector>

#include "admin/operator_messages.h"
#include "base/base.h"
#include "state/state.h"

namespace bamboomount {

// Where an emergency withdrawal has arrived.
struct WithdrawalPropagation {
  std::vector<InstanceId> reached;
  // Instances of the last known list, this one included.
  int listed = 0;
};

// Operators' changes over the change log; the part of FleetOperations that is
// the same in every process. Thread-safe.
class ChangeOperations {
 public:
  // Sends a committed change to the peers.
  using PushChange = std::function<void(const Change&)>;
  // Sends an emergency withdrawal to the peers and waits at most the given time
  // for a strict majority to confirm it. The result includes this instance.
  using PropagateWithdrawal =
      std::function<WithdrawalPropagation(const KeyId& key, Millis timeout)>;

  ChangeOperations(ChangeLog& log,
                   ControlStateHolder& holder,
                   StateFollower& follower,
                   PushChange push,
                   PropagateWithdrawal propagate);

  // See FleetOperations.
  Result<ConfigReply> Config(std::optional<ConfigVersion> version,
                             Millis timeout);
  Result<std::vector<ConfigVersionEntry>> ConfigHistory(Millis timeout);
  Result<ChangeReply> ApplyConfig(const ApplyConfigRequest& request,
                                  Millis timeout);
  KeyListing Keys() const;
  Result<ChangeReply> GrantKey(const GrantKeyRequest& request, Millis timeout);
  Result<WithdrawKeyReply> WithdrawKey(const WithdrawKeyRequest& request,
                                       Millis timeout);
  Result<ChangeReply> DrainInstance(const DrainRequest& request,
                                    Millis timeout);

  // Emergency withdrawals that the state in force does not include.
  std::vector<KeyId> UnloggedWithdrawals() const;
  // Writes them to the log. Called from time to time; routers that do it at
  // the same moment append each withdrawal once.
  Result<void> LogEmergencyWithdrawals(Millis timeout);

 private:
  Result<ChangeReply> Append(const std::string& author,
                             ChangeBody body,
                             Millis timeout);
  WithdrawKeyReply WithdrawInEmergency(const KeyId& key, Millis timeout);

  ChangeLog& log_;
  ControlStateHolder& holder_;
  StateFollower& follower_;
  const PushChange push_;
  const PropagateWithdrawal propagate_;
};

}  // namespace bamboomount

#endif  // ADMIN_CHANGE_OPERATIONS_H_
