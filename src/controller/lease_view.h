#ifndef CONTROLLER_LEASE_VIEW_H_
#define CONTROLLER_LEASE_VIEW_H_

#include <optional>

#include "base/base.h"
#include "provider/provider.h"

namespace bamboomount {

// Who holds the controllers' lease according to the table. The holder may have
// stopped since.
struct LeaseView {
  InstanceId holder;
  FencingToken token;
};

// Empty if nobody holds it. Fails with kStoreUnavailable.
Result<std::optional<LeaseView>> ReadLease(TableStore& store, Millis timeout);

}  // namespace bamboomount

#endif  // CONTROLLER_LEASE_VIEW_H_
