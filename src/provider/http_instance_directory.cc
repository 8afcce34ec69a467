#include "provider/http_instance_directory.h"

#include "provider/internal/json_response.h"
#include "provider/wire.h"

namespace bamboomount {

Result<DirectoryListing> HttpInstanceDirectory::List(Millis timeout) {
  BOOST_OUTCOME_TRY(response,
                    SendRequest(address_, {"GET", "/instances", {}}, timeout));
  return internal::ReadJson<DirectoryListing>(response,
                                              wire::DirectoryListingFrom);
}

Result<void> HttpInstanceDirectory::Register(const ListedInstance& instance,
                                             Millis timeout) {
  BOOST_OUTCOME_TRY(response, SendRequest(address_,
                                          {"POST", "/instances",
                                           wire::ToJson(instance).dump()},
                                          timeout));
  if (response.status != 200)
    return internal::StatusError(response);
  return Success();
}

}  // namespace bamboomount
