#include "provider/http_backend_orders.h"

#include "provider/internal/json_response.h"
#include "provider/wire.h"

namespace bamboomount {

Result<void> HttpBackendOrders::Submit(const BackendOrder& order,
                                       Millis timeout) {
  BOOST_OUTCOME_TRY(
      response,
      SendRequest(address_, {"POST", "/orders", wire::ToJson(order).dump()},
                  timeout));
  if (response.status != 202)
    return internal::StatusError(response);
  return Success();
}

Result<std::optional<BackendOrder>> HttpBackendOrders::Find(
    const std::string& order_id,
    Millis timeout) {
  BOOST_OUTCOME_TRY(
      response,
      SendRequest(
          address_,
          {"GET", internal::WithQuery("/orders", "order_id", order_id), {}},
          timeout));
  if (response.status == 404)
    return std::optional<BackendOrder>();
  return internal::ReadJson<std::optional<BackendOrder>>(
      response, wire::BackendOrderFrom);
}

}  // namespace bamboomount
