#include "load/samples.h"

#include <algorithm>
#include <cmath>

namespace bamboomount {

std::int64_t Samples::Quantile(double fraction) const {
  if (values_.empty()) {
    return 0;
  }
  std::vector<std::int64_t> sorted = values_;
  const double rank = std::ceil(fraction * static_cast<double>(sorted.size()));
  const std::size_t index = static_cast<std::size_t>(std::max(rank, 1.0)) - 1;
  std::nth_element(sorted.begin(),
                   sorted.begin() + static_cast<std::ptrdiff_t>(index),
                   sorted.end());
  return sorted[index];
}

}  // namespace bamboomount
