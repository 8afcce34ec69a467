#ifndef GATEWAY_CONTROL_DUTY_CLIENT_H_
#define GATEWAY_CONTROL_DUTY_CLIENT_H_

#include <functional>

#include "base/base.h"
#include "gateway/duties/usage_ledger.h"

namespace bamboomount {

// Who acts, proved by the lease.
struct DutyHolder {
  InstanceId instance;
  FencingToken token;
};

// An order for backend servers of a pool in one zone.
struct BackendOrder {
  PoolId pool;
  ZoneId zone;
  int count = 0;
  // Cheap ones that the zone may take away.
  bool reclaimable = false;
};

enum class DutyOutcome {
  kAccepted,
  // There are none to be had now.
  kUnavailable,
  // Refused or not answered; the call may have taken effect.
  kFailed,
};

// The platform's interface for orders and usage reports. Only the holder of the
// duty lease calls it.
class DutyClient {
 public:
  using Callback = std::function<void(DutyOutcome)>;

  virtual ~DutyClient() = default;

  virtual void ReportUsage(const DutyHolder& holder,
                           WindowNumber window,
                           const UsageCounts& counts,
                           Callback done) = 0;
  virtual void OrderBackends(const DutyHolder& holder,
                             const BackendOrder& order,
                             Callback done) = 0;
};

}  // namespace bamboomount

#endif  // GATEWAY_CONTROL_DUTY_CLIENT_H_
