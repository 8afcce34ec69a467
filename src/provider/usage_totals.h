#ifndef PROVIDER_USAGE_TOTALS_H_
#define PROVIDER_USAGE_TOTALS_H_

#include <cstdint>
#include <map>

#include "base/base.h"

namespace bamboomount {

// What was used, of one customer or in total.
struct UsageTotals {
  std::int64_t requests = 0;
  Tokens prompt_tokens;
  Tokens output_tokens;

  UsageTotals& operator+=(const UsageTotals& other) {
    requests += other.requests;
    prompt_tokens += other.prompt_tokens;
    output_tokens += other.output_tokens;
    return *this;
  }
  UsageTotals& operator-=(const UsageTotals& other) {
    requests -= other.requests;
    prompt_tokens -= other.prompt_tokens;
    output_tokens -= other.output_tokens;
    return *this;
  }
  friend bool operator==(const UsageTotals&, const UsageTotals&) = default;
};

using CustomerUsage = std::map<CustomerId, UsageTotals>;

}  // namespace bamboomount

#endif  // PROVIDER_USAGE_TOTALS_H_
