#ifndef PROVIDER_HTTP_BACKEND_ORDERS_H_
#define PROVIDER_HTTP_BACKEND_ORDERS_H_

#include <string>
#include <utility>

#include "provider/backend_orders.h"

namespace bamboomount {

// The platform's order interface over HTTP and JSON. An order with a stale
// fencing token fails with code kConflict. Every call uses a connection of its
// own. A call that fails before its connection is established, or that the
// platform refuses, has verdict kNotRun.
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
