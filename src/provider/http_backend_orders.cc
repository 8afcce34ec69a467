#include "provider/http_backend_orders.h"

#include "provider/internal/json_answer.h"
#include "provider/wire.h"

namespace bamboomount {

Result<void> HttpBackendOrders::Submit(const BackendOrder& order,
                                       Millis timeout) {
  BOOST_OUTCOME_TRY(
      answer,
      internal::Exchange(
          address_, {"POST", "/orders", wire::ToJson(order).dump()}, timeout));
  if (answer.status != 202)
    return internal::StatusError(answer);
  return Success();
}

Result<std::optional<BackendOrder>> HttpBackendOrders::Find(
    const std::string& order_id,
    Millis timeout) {
  BOOST_OUTCOME_TRY(
      answer,
      internal::Exchange(
          address_,
          {"GET", internal::WithQuery("/orders", "order_id", order_id), {}},
          timeout));
  if (answer.status == 404)
    return std::optional<BackendOrder>();
  return internal::ReadJson<std::optional<BackendOrder>>(
      answer, wire::BackendOrderFrom);
}

}  // namespace bamboomount
