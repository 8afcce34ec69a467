#include "peer/cell_map.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <set>

#include "peer/peer_cluster.h"

namespace bamboomount {
namespace {

std::vector<RosterMember> MakeMembers(int count) {
  std::vector<RosterMember> members(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i)
    members[static_cast<std::size_t>(i)].instance = PeerCluster::IdOf(i);
  return members;
}

BOOST_AUTO_TEST_SUITE(cell_map)

// A server in no cell gets no work; one in two cells gets too much.
BOOST_AUTO_TEST_CASE(cells_partition_the_servers_and_respect_the_size_limit) {
  BOOST_TEST(rc::check("partition", [] {
    const int count = *rc::gen::inRange(0, 200);
    const int size = *rc::gen::inRange(1, 33);
    const CellMap map(MakeConfig(count, 1, size));
    RC_ASSERT(static_cast<int>(map.cells().size()) ==
              (count + size - 1) / size);
    std::set<BackendId> seen;
    for (const auto& [id, cell] : map.cells()) {
      RC_ASSERT(static_cast<int>(cell.backends.size()) <= size);
      for (const CellBackend& backend : cell.backends) {
        RC_ASSERT(seen.insert(backend.backend).second);
        RC_ASSERT(map.CellOf(backend.backend) == &cell);
      }
    }
    RC_ASSERT(static_cast<int>(seen.size()) == count);
  }));
}

// Moving all servers at each change of the fleet would drop every queue.
BOOST_AUTO_TEST_CASE(adding_a_server_moves_few_others) {
  BOOST_TEST(rc::check("stability", [] {
    const int count = *rc::gen::inRange(9, 200);
    const CellMap before(MakeConfig(count, 1, 8));
    const CellMap after(MakeConfig(count + 1, 1, 8));
    int moved = 0;
    for (int i = 0; i < count; ++i) {
      const BackendId id("engine-" + std::to_string(i));
      moved += before.CellOf(id)->cell != after.CellOf(id)->cell;
    }
    const bool new_cell = before.cells().size() != after.cells().size();
    RC_ASSERT(moved <= count / (new_cell ? 2 : 4));
  }));
}

// A cell that changes its owner without need loses its queue.
BOOST_AUTO_TEST_CASE(only_cells_of_a_removed_router_change_their_owner) {
  BOOST_TEST(rc::check("owner stability", [] {
    const int count = *rc::gen::inRange(2, 40);
    const auto members = MakeMembers(count);
    auto fewer = members;
    const auto removed = *rc::gen::inRange<std::size_t>(0, fewer.size());
    const InstanceId gone = fewer[removed].instance;
    if (*rc::gen::arbitrary<bool>()) {
      fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(removed));
    } else {
      fewer[removed].leaving = true;
    }
    for (int i = 0; i < 50; ++i) {
      const CellId cell("futter/" + std::to_string(i));
      const auto before = OwnerOf(cell, members);
      const auto after = OwnerOf(cell, fewer);
      RC_ASSERT(after->instance != gone);
      if (before->instance != gone)
        RC_ASSERT(before == after);
    }
  }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
