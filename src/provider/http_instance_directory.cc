#include "provider/http_instance_directory.h"

#include "provider/internal/json_answer.h"
#include "provider/wire.h"

namespace bamboomount {

Result<DirectoryListing> HttpInstanceDirectory::List(Millis timeout) {
  BOOST_OUTCOME_TRY(
      answer, internal::Exchange(address_, {"GET", "/instances", {}}, timeout));
  return internal::ReadJson<DirectoryListing>(answer,
                                              wire::DirectoryListingFrom);
}

Result<void> HttpInstanceDirectory::Register(const ListedInstance& instance,
                                             Millis timeout) {
  BOOST_OUTCOME_TRY(answer, internal::Exchange(address_,
                                               {"POST", "/instances",
                                                wire::ToJson(instance).dump()},
                                               timeout));
  if (answer.status != 200)
    return internal::StatusError(answer);
  return Success();
}

}  // namespace bamboomount
