#ifndef PROVIDER_USAGE_REPORTS_H_
#define PROVIDER_USAGE_REPORTS_H_

#include <cstdint>

#include "base/base.h"

namespace bamboomount {

// Index of a usage window: time since the Unix epoch divided by the window
// length, rounded down.
using UsageWindow = StrongCount<struct UsageWindowTag>;

struct UsageReport {
  UsageWindow window;
  CustomerId customer;
  std::int64_t requests = 0;
  Tokens prompt_tokens;
  Tokens output_tokens;
  FencingToken fencing_token;
};

// The platform's interface for usage reports. Calls block for at most
// `timeout`. A report with a stale fencing token fails with code kConflict.
// Thread-safe.
class UsageReports {
 public:
  virtual ~UsageReports() = default;

  virtual Result<void> Submit(const UsageReport& report, Millis timeout) = 0;
};

}  // namespace bamboomount

#endif  // PROVIDER_USAGE_REPORTS_H_
