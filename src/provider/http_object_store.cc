#include "provider/http_object_store.h"

#include "provider/internal/http_exchange.h"

namespace bamboomount {

Result<void> HttpObjectStore::Put(const std::string& name,
                                  const std::string& content,
                                  Millis timeout) {
  BOOST_OUTCOME_TRY(
      answer,
      internal::Exchange(
          address_,
          {"PUT", internal::WithQuery("/objects", "name", name), content},
          timeout));
  if (answer.status != 200)
    return internal::StatusError(answer);
  return Success();
}

Result<std::optional<std::string>> HttpObjectStore::Get(const std::string& name,
                                                        Millis timeout) {
  BOOST_OUTCOME_TRY(
      answer,
      internal::Exchange(
          address_, {"GET", internal::WithQuery("/objects", "name", name), {}},
          timeout));
  if (answer.status == 404)
    return std::optional<std::string>();
  if (answer.status != 200)
    return internal::StatusError(answer);
  return std::optional<std::string>(std::move(answer.body));
}

}  // namespace bamboomount
