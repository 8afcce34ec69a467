#include "gateway/connection_relief.h"

#include <boost/test/unit_test.hpp>

#include "instants.h"

namespace bamboomount {
namespace {

// Guards against closing the connection of a caller that waits for its response
// while idle or slow callers hold the memory.
BOOST_AUTO_TEST_CASE(idle_and_slow_connections_are_closed_first) {
  const std::vector<ConnectionLoad> connections{
      {ConnectionActivity::kWaitingForServer, At(0), 10},
      {ConnectionActivity::kTransferring, At(50), 10},
      {ConnectionActivity::kTransferring, At(10), 10},
      {ConnectionActivity::kIdle, At(90), 10}};
  const std::vector<std::size_t> one{3};
  const std::vector<std::size_t> three{3, 2, 1};
  BOOST_TEST(SelectConnectionsToClose(connections, 1) == one);
  BOOST_TEST(SelectConnectionsToClose(connections, 30) == three);
  BOOST_TEST(SelectConnectionsToClose(connections, 99).size() == 4U);
}

}  // namespace
}  // namespace bamboomount
