#include "provider/http_object_store.h"

#include "provider/internal/platform_response.h"

namespace bamboomount {

Result<void> HttpObjectStore::Put(const std::string& name,
                                  const std::string& content,
                                  Millis timeout) {
  BOOST_OUTCOME_TRY(
      response,
      SendRequest(
          address_,
          {"PUT", internal::WithQuery("/objects", "name", name), content},
          timeout));
  if (response.status != 200)
    return internal::StatusError(response);
  return Success();
}

Result<std::optional<std::string>> HttpObjectStore::Get(const std::string& name,
                                                        Millis timeout) {
  BOOST_OUTCOME_TRY(
      response,
      SendRequest(address_,
                  {"GET", internal::WithQuery("/objects", "name", name), {}},
                  timeout));
  if (response.status == 404)
    return std::optional<std::string>();
  if (response.status != 200)
    return internal::StatusError(response);
  return std::optional<std::string>(std::move(response.body));
}

}  // namespace bamboomount
