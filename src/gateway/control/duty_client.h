#ifndef GATEWAY_CONTROL_DUTY_CLIENT_H_
#define GATEWAY_CONTROL_DUTY_CLIENT_H_

#include <functional>

#include "base/base.h"
#include "gateway/duties/usage_ledger.h"

namespace bamboomount {

// Identity of the lease holder, with the fencing token that proves it.
struct DutyHolder {
  InstanceId instance;
  FencingToken token;
};

// An order for backend servers of a pool in one availability zone.
struct BackendOrder {
  PoolId pool;
  ZoneId zone;
  int count = 0;
  // Cheaper servers that the platform may reclaim at any time.
  bool reclaimable = false;
};

enum class DutyOutcome {
  kAccepted,
  // No servers of this kind are available at the moment.
  kUnavailable,
  // Refused or not answered. The call may have taken effect nevertheless.
  kFailed,
};

// Client of the platform's interface for orders and usage reports. Only the
// holder of the duty lease may call it.
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
