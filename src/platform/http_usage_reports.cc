#include "platform/http_usage_reports.h"

#include <nlohmann/json.hpp>

#include "platform/internal/http_exchange.h"
#include "platform/wire.h"

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
