#ifndef SYSTEM_OPERATORS_H_
#define SYSTEM_OPERATORS_H_

#include <chrono>

#include "admin/admin.h"
#include "support/fleet.h"
#include "support/wait_until.h"

namespace bamboomount::support {

inline AdminClient MakeAdminClient(const FleetInstance& instance) {
  return AdminClient(instance.admin_address, FleetOptions().admin_token,
                     std::chrono::seconds(10));
}

// Sequence in force on `instance`; 0 if it does not answer.
inline ChangeSequence AppliedSequence(const FleetInstance& instance) {
  const auto position = MakeAdminClient(instance).Position();
  return position ? position.value().sequence : ChangeSequence(0);
}

inline bool WaitForSequence(const FleetInstance& instance,
                            ChangeSequence sequence) {
  return WaitUntil([&] { return AppliedSequence(instance) >= sequence; });
}

// Waits until every instance has read a list of the platform that holds all of
// them. Before that no majority is defined, and an outage makes the instances
// refuse keyed requests.
inline bool WaitUntilAllListed(Fleet& fleet) {
  const auto lists_all = [&](const FleetInstance& instance) {
    const auto status = MakeAdminClient(instance).Status();
    if (!status || status.value().instances.size() != fleet.instance_count())
      return false;
    for (const InstanceStatus& entry : status.value().instances) {
      if (entry.admin_address.empty())
        return false;
    }
    return true;
  };
  for (std::size_t i = 0; i < fleet.instance_count(); ++i) {
    if (!WaitUntil([&] { return lists_all(fleet.instance(i)); }))
      return false;
  }
  return true;
}

}  // namespace bamboomount::support

#endif  // SYSTEM_OPERATORS_H_
