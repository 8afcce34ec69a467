#include "provider/http_usage_reports.h"

#include <nlohmann/json.hpp>

#include "provider/internal/http_exchange.h"
#include "provider/wire.h"

namespace bamboomount {

Result<void> HttpUsageReports::Submit(const UsageReport& report,
                                      Millis timeout) {
  BOOST_OUTCOME_TRY(
      answer,
      internal::Exchange(
          address_, {"POST", "/usage", wire::ToJson(report).dump()}, timeout));
  if (answer.status != 202)
    return internal::StatusError(answer);
  return Success();
}

}  // namespace bamboomount
