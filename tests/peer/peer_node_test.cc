#include "peer/peer_node.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>

#include "peer/peer_cluster.h"

namespace bamboomount {
namespace {

using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(peer_node)

// A change that stays on the router that committed it would be in force in one
// place only.
BOOST_AUTO_TEST_CASE(changes_reach_every_router_despite_lost_messages) {
  BOOST_TEST(rc::check("changes spread", [] {
    const int size = *rc::gen::element(2, 9, 24);
    PeerCluster cluster(size, *rc::gen::arbitrary<std::uint64_t>());
    cluster.Run(seconds(5));
    cluster.network.set_faults({0.3, 0.2, Millis(0), Millis(300)});
    const int count = *rc::gen::inRange(1, 8);
    for (int i = 0; i < count; ++i) {
      PeerRouter& router = cluster.at(0);
      router.node->PushChange(router.exchange.Commit(std::to_string(i)));
    }
    const auto everywhere = [&] {
      return std::all_of(
          cluster.routers.begin(), cluster.routers.end(), [&](auto& entry) {
            return entry.second->exchange.sequence() == ChangeSequence(count);
          });
    };
    RC_ASSERT(cluster.RunUntil(everywhere, seconds(60)).has_value());
  }));
}

// An operator is told that a withdrawal is confirmed; a router counted as
// acknowledging must hold it.
BOOST_AUTO_TEST_CASE(withdrawals_reach_all_and_only_holders_acknowledge) {
  BOOST_TEST(rc::check("withdrawals spread", [] {
    const int size = *rc::gen::element(3, 9, 24);
    PeerCluster cluster(size, *rc::gen::arbitrary<std::uint64_t>());
    cluster.Run(seconds(5));
    cluster.network.set_faults({0.3, 0.2, Millis(0), Millis(300)});
    const KeyId first("first");
    cluster.at(0).holder.AddEmergencyWithdrawals({first});
    cluster.at(0).node->PushWithdrawals();
    cluster.at(1).holder.AddEmergencyWithdrawals({KeyId("second")});
    cluster.at(1).node->PushWithdrawals();
    const auto acknowledged = [&] {
      const auto instances = cluster.at(0).node->AcknowledgedBy(first);
      for (const InstanceId& id : instances)
        RC_ASSERT(
            cluster.routers.at(id)->holder.emergency_withdrawals().contains(
                first));
      return instances.size() == static_cast<std::size_t>(size);
    };
    RC_ASSERT(cluster.RunUntil(acknowledged, seconds(120)).has_value());
  }));
}

// The operators' status must not show a change in force where it is not.
BOOST_AUTO_TEST_CASE(statuses_show_the_sequence_of_each_instance) {
  PeerCluster cluster(3, 1);
  cluster.Run(seconds(3));
  cluster.network.Partition({{PeerCluster::IdOf(0), PeerCluster::IdOf(1)}});
  PeerRouter& router = cluster.at(0);
  router.node->PushChange(router.exchange.Commit("change"));
  cluster.Run(seconds(2));
  const auto statuses = router.node->Statuses();
  BOOST_REQUIRE(statuses.size() == 3U);
  BOOST_TEST(statuses[0].sequence == ChangeSequence(1));
  BOOST_TEST(statuses[1].sequence == ChangeSequence(1));
  BOOST_TEST(statuses[2].sequence == ChangeSequence(0));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
