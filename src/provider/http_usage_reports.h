#ifndef PROVIDER_HTTP_USAGE_REPORTS_H_
#define PROVIDER_HTTP_USAGE_REPORTS_H_

#include <string>
#include <utility>

#include "provider/usage_reports.h"

namespace bamboomount {

// Client of the platform's usage interface over HTTP and JSON. A report with a
// stale fencing token fails with code kConflict. Every call opens its own
// connection. A call fails with verdict kNotRun if the connection could not be
// established or the platform refused the call. Thread-safe.
class HttpUsageReports : public UsageReports {
 public:
  // `address` is "ip:port".
  explicit HttpUsageReports(std::string address)
      : address_(std::move(address)) {}

  Result<void> Submit(const UsageReport& report, Millis timeout) override;

 private:
  const std::string address_;
};

}  // namespace bamboomount

#endif  // PROVIDER_HTTP_USAGE_REPORTS_H_
