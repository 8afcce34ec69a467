#include "peer/roster.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>

#include "peer/peer_cluster.h"

namespace bamboomount {
namespace {

using std::chrono::seconds;

// Runs `cluster` until all rosters agree; returns false after a minute of
// virtual time.
bool RostersConverge(PeerCluster& cluster) {
  return cluster.RunUntil([&] { return cluster.RostersAgree(); }, seconds(60))
      .has_value();
}

BOOST_AUTO_TEST_SUITE(roster)

// Guards against routers that do not discover each other when the platform's
// list is unavailable and each knows only one seed peer.
BOOST_AUTO_TEST_CASE(routers_discover_each_other_through_one_seed) {
  for (const int size : {2, 9, 40}) {
    PeerCluster cluster(size, 1, false);
    BOOST_TEST(RostersConverge(cluster), "size " << size);
  }
}

// Guards against a dead router that stays in a roster, so that its cells get no
// new owner, in the full mesh and under gossip.
BOOST_AUTO_TEST_CASE(a_killed_router_is_removed_from_every_roster) {
  for (const int size : {9, 40}) {
    PeerCluster cluster(size, 2);
    BOOST_REQUIRE(RostersConverge(cluster));
    cluster.Run(seconds(5));
    cluster.Kill(PeerCluster::IdOf(3));
    BOOST_TEST(RostersConverge(cluster), "size " << size);
  }
}

// Guards against the removal of a live router because of lost or delayed
// heartbeats. It would move cells and free slots that are in use.
BOOST_AUTO_TEST_CASE(lost_and_late_heartbeats_do_not_remove_a_live_router) {
  BOOST_TEST(rc::check("no false removal", [] {
    const int size = *rc::gen::element(9, 32);
    PeerCluster cluster(size, *rc::gen::arbitrary<std::uint64_t>());
    RC_ASSERT(RostersConverge(cluster));
    cluster.network.set_faults({0.05, 0.05, Millis(0), Millis(200)});
    for (int i = 0; i < 30; ++i) {
      cluster.Run(seconds(1));
      RC_ASSERT(cluster.RostersAgree());
    }
  }));
}

// Guards against sides of a partition that stop contacting each other. After it
// heals, the queue of each cell would stay split between two owners.
BOOST_AUTO_TEST_CASE(the_roster_converges_after_a_partition_heals) {
  BOOST_TEST(rc::check("converges after partition", [] {
    const int size = *rc::gen::element(3, 9, 24);
    PeerCluster cluster(size, *rc::gen::arbitrary<std::uint64_t>(), false);
    RC_ASSERT(RostersConverge(cluster));
    // The seed peer of all others is dead, so they must keep contacting each
    // other.
    cluster.Kill(PeerCluster::IdOf(0));
    std::vector<std::set<InstanceId>> groups(2);
    for (int i = 0; i < size; ++i)
      groups[*rc::gen::inRange(0, 2)].insert(PeerCluster::IdOf(i));
    cluster.network.Partition(groups);
    cluster.Run(seconds(*rc::gen::inRange(1, 40)));
    cluster.network.Partition({});
    RC_ASSERT(RostersConverge(cluster));
  }));
}

// Guards against a router that is shutting down and remains the owner of cells,
// because some routers have not learned that it is leaving.
BOOST_AUTO_TEST_CASE(a_leaving_router_is_known_as_leaving_everywhere) {
  for (const int size : {9, 40}) {
    PeerCluster cluster(size, 3);
    BOOST_REQUIRE(RostersConverge(cluster));
    cluster.at(1).node->Leave();
    const auto known = cluster.RunUntil(
        [&] {
          return std::all_of(cluster.routers.begin(), cluster.routers.end(),
                             [](auto& entry) {
                               return entry.second->node->Members()[1].leaving;
                             });
        },
        seconds(60));
    BOOST_TEST(known.has_value(), "size " << size);
  }
}

// Guards against a roster that keeps the previous incarnation of a restarted
// router, which does not know the slots that it held or granted. The others
// must see the new incarnation within seconds.
BOOST_AUTO_TEST_CASE(a_restarted_router_replaces_its_former_incarnation) {
  PeerCluster cluster(9, 4);
  BOOST_REQUIRE(RostersConverge(cluster));
  cluster.Kill(PeerCluster::IdOf(3));
  cluster.Add(PeerCluster::IdOf(3), Incarnation(2));
  cluster.ApplyListing();
  const auto known = cluster.RunUntil(
      [&] {
        return cluster.at(0).node->Members()[3].incarnation == Incarnation(2);
      },
      seconds(10));
  BOOST_TEST(known.has_value());
}

// Guards against an isolated or stopped router that counts late heartbeats as
// fresh. It would count itself as in contact with a majority and continue to
// accept withdrawn keys.
BOOST_AUTO_TEST_CASE(delayed_heartbeats_do_not_count_as_fresh) {
  PeerCluster cluster(9, 5);
  BOOST_REQUIRE(RostersConverge(cluster));
  cluster.Run(seconds(3));
  BOOST_TEST(cluster.at(0).node->CountLiveWithin(seconds(4)).live == 9);
  // The router is stopped for a minute; messages to it wait in the network.
  cluster.at(0).alive = false;
  cluster.network.set_faults({0, 0, seconds(60), seconds(60)});
  cluster.Run(seconds(62));
  const LivenessCount count = cluster.at(0).node->CountLiveWithin(seconds(4));
  BOOST_TEST(count.listed == 9);
  BOOST_TEST(!count.strict_majority());
}

// Guards against a store confirmation that a peer takes for younger than it is,
// because the message was delayed. It would extend the time in which a
// withdrawn key is accepted.
BOOST_AUTO_TEST_CASE(a_forwarded_confirmation_never_looks_fresher_than_it_is) {
  BOOST_TEST(rc::check("age of confirmation", [] {
    PeerCluster cluster(4, *rc::gen::arbitrary<std::uint64_t>());
    cluster.network.set_faults({0.1, 0.2, Millis(0), seconds(3)});
    cluster.Run(seconds(10));
    const SteadyTime confirmed_at = cluster.network.now();
    cluster.at(1).exchange.set_confirmed_at(confirmed_at);
    cluster.Run(seconds(10));
    for (const auto& [id, router] : cluster.routers)
      RC_ASSERT(router->exchange.peer_confirmed_at() <= confirmed_at);
  }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
