#ifndef PROVIDER_USAGE_FIGURES_H_
#define PROVIDER_USAGE_FIGURES_H_

#include <cstdint>
#include <map>

#include "base/base.h"

namespace bamboomount {

// What was used, of one customer or in total.
struct UsageFigures {
  std::int64_t requests = 0;
  Tokens prompt_tokens;
  Tokens output_tokens;

  UsageFigures& operator+=(const UsageFigures& other) {
    requests += other.requests;
    prompt_tokens += other.prompt_tokens;
    output_tokens += other.output_tokens;
    return *this;
  }
  UsageFigures& operator-=(const UsageFigures& other) {
    requests -= other.requests;
    prompt_tokens -= other.prompt_tokens;
    output_tokens -= other.output_tokens;
    return *this;
  }
  friend bool operator==(const UsageFigures&, const UsageFigures&) = default;
};

using CustomerUsage = std::map<CustomerId, UsageFigures>;

}  // namespace bamboomount

#endif  // PROVIDER_USAGE_FIGURES_H_
