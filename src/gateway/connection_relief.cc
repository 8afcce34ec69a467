#include "gateway/connection_relief.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace bamboomount {

std::vector<std::size_t> SelectConnectionsToClose(
    const std::vector<ConnectionLoad>& connections,
    std::size_t bytes) {
  std::vector<std::size_t> order(connections.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  const auto rank = [&connections](std::size_t index) {
    const ConnectionLoad& load = connections[index];
    return std::tuple(load.activity, load.last_progress, index);
  };
  std::sort(order.begin(), order.end(), [&rank](std::size_t a, std::size_t b) {
    return rank(a) < rank(b);
  });
  std::size_t released = 0;
  std::size_t count = 0;
  while (count < order.size() && released < bytes) {
    released += connections[order[count]].bytes;
    ++count;
  }
  order.resize(count);
  return order;
}

}  // namespace bamboomount
