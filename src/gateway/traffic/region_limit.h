#ifndef GATEWAY_TRAFFIC_REGION_LIMIT_H_
#define GATEWAY_TRAFFIC_REGION_LIMIT_H_

#include <optional>
#include <set>

#include "base/base.h"

namespace bamboomount {

// The regions in which a request may be served. Without a restriction, all
// regions are allowed.
class RegionLimit {
 public:
  // Allows only regions in `regions`, besides earlier restrictions. An empty
  // set restricts nothing.
  void RestrictTo(const std::set<RegionId>& regions) {
    if (regions.empty())
      return;
    if (!allowed_) {
      allowed_ = regions;
      return;
    }
    std::erase_if(*allowed_, [&regions](const RegionId& region) {
      return !regions.contains(region);
    });
  }
  bool restricted() const { return allowed_.has_value(); }
  bool Allows(const RegionId& region) const {
    return !allowed_ || allowed_->contains(region);
  }

 private:
  std::optional<std::set<RegionId>> allowed_;
};

}  // namespace bamboomount

#endif  // GATEWAY_TRAFFIC_REGION_LIMIT_H_
