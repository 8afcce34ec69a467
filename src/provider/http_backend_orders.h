#ifndef PROVIDER_HTTP_BACKEND_ORDERS_H_
#define PROVIDER_HTTP_BACKEND_ORDERS_H_

#include <string>
#include <utility>

#include "provider/backend_orders.h"

namespace bamboomount {

// Client of the platform's order interface over HTTP and JSON. An order with a
// stale fencing token fails with code kConflict. Every call opens its own
// connection. A call fails with verdict kNotRun if the connection could not be
// established or the platform refused the call. Thread-safe.
class HttpBackendOrders : public BackendOrders {
 public:
  // `address` is "ip:port".
  explicit HttpBackendOrders(std::string address)
      : address_(std::move(address)) {}

  Result<void> Submit(const BackendOrder& order, Millis timeout) override;
  Result<std::optional<BackendOrder>> Find(const std::string& order_id,
                                           Millis timeout) override;

 private:
  const std::string address_;
};

}  // namespace bamboomount

#endif  // PROVIDER_HTTP_BACKEND_ORDERS_H_
