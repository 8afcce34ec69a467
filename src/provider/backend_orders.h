#ifndef PROVIDER_BACKEND_ORDERS_H_
#define PROVIDER_BACKEND_ORDERS_H_

#include <optional>
#include <string>
#include <vector>

#include "base/base.h"

namespace bamboomount {

// kFirm: on capacity that the platform does not reclaim. kCheap: on reclaimable
// capacity, which may be lost in the whole availability zone at once.
enum class BackendKind { kFirm, kCheap };

// An order for new backend servers in one availability zone, or for the release
// of existing ones.
struct BackendOrder {
  std::string order_id;
  ZoneId zone;
  PoolId pool;
  BackendKind kind = BackendKind::kFirm;
  // Backend servers to order (positive count) or to release (negative count).
  int count = 0;
  FencingToken fencing_token;
};

// The platform's interface for ordering and releasing backend servers. Calls
// block for at most `timeout`. Thread-safe.
class BackendOrders {
 public:
  virtual ~BackendOrders() = default;

  // Fails with verdict kMayHaveRun if the platform may have received the order.
  virtual Result<void> Submit(const BackendOrder& order, Millis timeout) = 0;
  // Returns the order with this id, empty if the platform has not received it.
  virtual Result<std::optional<BackendOrder>> Find(const std::string& order_id,
                                                   Millis timeout) = 0;
};

}  // namespace bamboomount

#endif  // PROVIDER_BACKEND_ORDERS_H_
