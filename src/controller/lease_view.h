#ifndef CONTROLLER_LEASE_VIEW_H_
#define CONTROLLER_LEASE_VIEW_H_

#include <optional>

#include "base/base.h"
#include "provider/provider.h"

namespace bamboomount {

// The holder of the controller lease according to the table. The holder may
// have stopped since, so the lease may have expired.
struct LeaseView {
  InstanceId holder;
  FencingToken token;
};

// Reads the lease row. Empty if the row is missing, malformed or released.
// Fails with kStoreUnavailable.
Result<std::optional<LeaseView>> ReadLease(TableStore& store, Millis timeout);

}  // namespace bamboomount

#endif  // CONTROLLER_LEASE_VIEW_H_
