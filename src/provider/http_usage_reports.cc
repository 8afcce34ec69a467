#include "provider/http_usage_reports.h"

#include <nlohmann/json.hpp>

#include "provider/internal/platform_response.h"
#include "provider/wire.h"

namespace bamboomount {

Result<void> HttpUsageReports::Submit(const UsageReport& report,
                                      Millis timeout) {
  BOOST_OUTCOME_TRY(
      response,
      SendRequest(address_, {"POST", "/usage", wire::ToJson(report).dump()},
                  timeout));
  if (response.status != 202)
    return internal::StatusError(response);
  return Success();
}

}  // namespace bamboomount
