#include "gateway/traffic/route.h"

namespace bamboomount {

const PoolId& Route::ChoosePool(double draw) const {
  double total = 0;
  for (const PoolShare& share : shares)
    total += share.weight;
  double left = draw * total;
  for (const PoolShare& share : shares) {
    if (left < share.weight)
      return share.pool;
    left -= share.weight;
  }
  return shares.back().pool;
}

}  // namespace bamboomount
