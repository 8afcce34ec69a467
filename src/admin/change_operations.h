#ifndef ADMIN_CHANGE_OPERATIONS_H_
#define ADMIN_CHANGE_OPERATIONS_H_

#include <functional>
#include <optional>
#include <vector>

#include "admin/operator_messages.h"
#include "base/base.h"
#include "state/state.h"

namespace bamboomount {

// How far an emergency withdrawal has propagated.
struct WithdrawalPropagation {
  // Instances that acknowledged it, this one included.
  std::vector<InstanceId> reached;
  // Number of instances in the last known instance list, this one included.
  int listed = 0;
};

// Operators' changes over the change log: the part of FleetOperations that
// does not depend on the process. The referenced objects must outlive it.
// Thread-safe.
class ChangeOperations {
 public:
  // Pushes a committed change to the peers.
  using PushChange = std::function<void(const Change&)>;
  // Sends an emergency withdrawal to the peers and waits at most `timeout` for
  // a strict majority to acknowledge it. The result includes this instance.
  using PropagateWithdrawal =
      std::function<WithdrawalPropagation(const KeyId& key, Millis timeout)>;

  ChangeOperations(ChangeLog& log,
                   ControlStateHolder& holder,
                   StateFollower& follower,
                   PushChange push,
                   PropagateWithdrawal propagate);

  // As the FleetOperations members of the same names. WithdrawKey falls back to
  // an emergency withdrawal if the store does not respond and the key is known
  // here.
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

  // Emergency withdrawals that the state in force does not include yet.
  std::vector<KeyId> UnloggedWithdrawals() const;
  // Appends the unlogged withdrawals to the change log; to be called
  // periodically. Routers that do this concurrently append each withdrawal only
  // once. Stops at the first error other than kNotFound and returns it.
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
