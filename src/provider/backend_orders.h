#ifndef PROVIDER_BACKEND_ORDERS_H_
#define PROVIDER_BACKEND_ORDERS_H_

#include <optional>
#include <string>
#include <vector>

#include "base/base.h"

namespace bamboomount {

enum class BackendKind { kFirm, kCheap };

// An order for backend servers in one availability zone.
struct BackendOrder {
  std::string order_id;
  ZoneId zone;
  PoolId pool;
  BackendKind kind = BackendKind::kFirm;
  // Backend servers to add; negative to give back.
  int count = 0;
  FencingToken fencing_token;
};

// The platform's interface for ordering backend servers. Calls block for at
// most `timeout`. Thread-safe.
class BackendOrders {
 public:
  virtual ~BackendOrders() = default;

  // Fails with verdict kMayHaveRun if the order may have arrived.
  virtual Result<void> Submit(const BackendOrder& order, Millis timeout) = 0;
  // The order with this id if the platform has received it.
  virtual Result<std::optional<BackendOrder>> Find(const std::string& order_id,
                                                   Millis timeout) = 0;
};

}  // namespace bamboomount

#endif  // PROVIDER_BACKEND_ORDERS_H_
