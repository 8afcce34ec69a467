#include "peer/distributed_slot_broker.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>

#include "peer/slot_workload.h"

namespace bamboomount {
namespace {

using std::chrono::seconds;

int RandomBelow(int limit) {
  return *rc::gen::inRange(0, limit);
}

// Runs the cluster until its rosters agree and owners have collected reports.
void WaitForStableOwners(PeerCluster& cluster) {
  RC_ASSERT(
      cluster.RunUntil([&] { return cluster.RostersAgree(); }, seconds(60))
          .has_value());
  cluster.Run(seconds(1));
}

// One random operation on the workload.
void RunRandomOperation(PeerCluster& cluster,
                        SlotWorkload& workload,
                        int routers) {
  const int kind = RandomBelow(10);
  const auto running = workload.Running();
  const auto waiting = workload.Waiting();
  if (kind < 5) {
    const int router = RandomBelow(routers);
    if (cluster.at(router).alive)
      workload.Start(router, Tier(RandomBelow(3)));
  } else if (kind < 8 && !running.empty()) {
    workload.Release(running[RandomBelow(static_cast<int>(running.size()))]);
  } else if (kind == 8 && !waiting.empty()) {
    workload.Cancel(waiting[RandomBelow(static_cast<int>(waiting.size()))]);
  } else if (kind == 9 && !running.empty()) {
    workload.Cancel(running[RandomBelow(static_cast<int>(running.size()))]);
  }
}

// Virtual time in which everything must end: removal of a dead owner takes 6
// to 7 s, a lost release is found after 3 s. A slot that nobody releases is
// freed after 18 s only, so that the limit also finds missing releases.
constexpr seconds kDrainLimit{14};

// Lets every request finish; false if some are left after kDrainLimit.
bool Drain(PeerCluster& cluster, SlotWorkload& workload) {
  const auto drained = cluster.RunUntil(
      [&] {
        for (const RequestId& id : workload.Running())
          workload.Release(id);
        return workload.Waiting().empty() && workload.HasNoOpenRequests();
      },
      kDrainLimit);
  return drained.has_value();
}

// The instance that owns the only cell of a one-cell configuration.
int OwnerIndex(const PeerCluster& cluster, int routers) {
  std::vector<RosterMember> members(static_cast<std::size_t>(routers));
  for (int i = 0; i < routers; ++i)
    members[static_cast<std::size_t>(i)].instance = PeerCluster::IdOf(i);
  std::erase_if(members, [&](const RosterMember& member) {
    return !cluster.routers.at(member.instance)->alive;
  });
  const InstanceId owner = OwnerOf(CellId("futter/0"), members)->instance;
  for (int i = 0; i < routers; ++i) {
    if (PeerCluster::IdOf(i) == owner)
      return i;
  }
  return -1;
}

BOOST_AUTO_TEST_SUITE(distributed_slot_broker)

// A backend server beyond its slots slows down every stream that it runs.
// Delays stay below the acknowledgment timeout, so that only owners grant.
BOOST_AUTO_TEST_CASE(owners_never_grant_a_backend_server_beyond_its_slots) {
  BOOST_TEST(rc::check("grants within slots", [] {
    const int routers = *rc::gen::element(1, 3, 9);
    const int slots = 1 + RandomBelow(3);
    PeerCluster cluster(routers, *rc::gen::arbitrary<std::uint64_t>(), true,
                        MakeConfig(4, slots, *rc::gen::element(2, 32)));
    WaitForStableOwners(cluster);
    cluster.network.set_faults({0, 0.2, Millis(0), Millis(30)});
    SlotWorkload workload(cluster);
    const auto local_budget_uses = [&] {
      std::uint64_t uses = 0;
      for (const auto& [id, router] : cluster.routers)
        uses += router->broker->local_budget_uses();
      return uses;
    };
    RC_ASSERT(local_budget_uses() == 0U);
    for (int i = 0; i < 100; ++i) {
      RunRandomOperation(cluster, workload, routers);
      if (RandomBelow(2) == 0)
        cluster.Step();
      RC_ASSERT(workload.MaxRunningPerBackend() <= slots);
    }
    RC_ASSERT(local_budget_uses() == 0U);
    RC_ASSERT(Drain(cluster, workload));
    RC_ASSERT(workload.EachAnsweredOnce());
  }));
}

// A request without an answer hangs its caller, one with two answers takes two
// slots, and a slot that is never freed shrinks the fleet.
BOOST_AUTO_TEST_CASE(each_request_ends_once_despite_owner_loss_and_faults) {
  BOOST_TEST(rc::check("one answer, no slot lost", [] {
    const int routers = *rc::gen::element(3, 9);
    PeerCluster cluster(routers, *rc::gen::arbitrary<std::uint64_t>(), true,
                        MakeConfig(4, 2, *rc::gen::element(2, 32)));
    WaitForStableOwners(cluster);
    cluster.network.set_faults({0.1, 0.1, Millis(0), Millis(120)});
    SlotWorkload workload(cluster);
    for (int i = 0; i < 150; ++i) {
      RunRandomOperation(cluster, workload, routers);
      if (RandomBelow(2) == 0)
        cluster.Step();
      if (i == 50)
        cluster.Kill(PeerCluster::IdOf(OwnerIndex(cluster, routers)));
    }
    cluster.network.set_faults({});
    RC_ASSERT(Drain(cluster, workload));
    RC_ASSERT(workload.EachAnsweredOnce());
  }));
}

// A new owner that does not know the running requests would fill each backend
// server a second time.
BOOST_AUTO_TEST_CASE(a_new_owner_adopts_running_requests) {
  BOOST_TEST(rc::check("running requests are adopted", [] {
    const int routers = *rc::gen::element(3, 9);
    PeerCluster cluster(routers, *rc::gen::arbitrary<std::uint64_t>(), true,
                        MakeConfig(2, 3, 32));
    WaitForStableOwners(cluster);
    SlotWorkload workload(cluster);
    const int owner = OwnerIndex(cluster, routers);
    const auto start_anywhere = [&] {
      workload.Start((owner + 1 + RandomBelow(routers - 1)) % routers);
    };
    for (int i = 0; i < 6; ++i)
      start_anywhere();
    cluster.Run(seconds(1));
    RC_ASSERT(workload.Running().size() == 6U);
    cluster.network.set_faults({0, 0.2, Millis(0), Millis(30)});
    cluster.Kill(PeerCluster::IdOf(owner));
    RC_ASSERT(
        cluster.RunUntil([&] { return cluster.RostersAgree(); }, seconds(60))
            .has_value());
    for (int i = 0; i < 4; ++i)
      start_anywhere();
    for (int i = 0; i < 100; ++i) {
      cluster.Step();
      RC_ASSERT(workload.MaxRunningPerBackend() <= 3);
    }
    RC_ASSERT(workload.Waiting().size() == 4U);
    RC_ASSERT(Drain(cluster, workload));
    RC_ASSERT(workload.EachAnsweredOnce());
  }));
}

// Invariant I1 over all routers that share an owner. One grant in 16 may go to
// the class that has waited longest.
BOOST_AUTO_TEST_CASE(no_higher_tier_waits_or_is_refused_for_a_lower_one) {
  BOOST_TEST(rc::check("tier order across routers", [] {
    const int routers = 4;
    PeerCluster cluster(routers, *rc::gen::arbitrary<std::uint64_t>(), true,
                        MakeConfig(2, 1, 32));
    WaitForStableOwners(cluster);
    SlotWorkload workload(cluster);
    const int count = 10 + RandomBelow(10);
    for (int i = 0; i < count; ++i)
      workload.Start(RandomBelow(routers), Tier(RandomBelow(4)));
    cluster.Run(seconds(1));
    int grants = 0;
    int inversions = 0;
    workload.on_grant = [&](const SlotWorkload::TrackedRequest& granted) {
      ++grants;
      const auto waiting = workload.Waiting();
      inversions +=
          std::any_of(waiting.begin(), waiting.end(), [&](const RequestId& id) {
            return workload.at(id).tier < granted.tier;
          });
    };
    while (!workload.Waiting().empty()) {
      workload.Release(workload.Running().front());
      cluster.Step();
    }
    RC_ASSERT(grants == count - 2);
    RC_ASSERT(inversions <= 1 + grants / 16);
    RC_ASSERT(Drain(cluster, workload));
  }));
}

// While the owner cannot be reached, all routers together must stay within
// the slots of each backend server.
BOOST_AUTO_TEST_CASE(local_budget_limits_slots_when_owner_is_unreachable) {
  BOOST_TEST(rc::check("local budget", [] {
    const int routers = 3;
    const int slots = 3 * (1 + RandomBelow(3)) + RandomBelow(3);
    PeerCluster cluster(routers, *rc::gen::arbitrary<std::uint64_t>(), true,
                        MakeConfig(2, slots, 32));
    WaitForStableOwners(cluster);
    const int owner = OwnerIndex(cluster, routers);
    // The owner is dead, but the rosters still have it.
    cluster.Kill(PeerCluster::IdOf(owner));
    SlotWorkload workload(cluster);
    for (int i = 0; i < 40; ++i)
      workload.Start((owner + 1 + RandomBelow(2)) % routers);
    cluster.Run(seconds(2));
    RC_ASSERT(cluster.at((owner + 1) % routers).node->Members().size() == 3U);
    RC_ASSERT(!workload.Running().empty());
    std::map<std::pair<int, BackendId>, int> use;
    for (const RequestId& id : workload.Running()) {
      const auto& request = workload.at(id);
      const int used = ++use[std::pair(request.router, *request.backend)];
      RC_ASSERT(used <= slots / routers);
    }
    RC_ASSERT(Drain(cluster, workload));
    RC_ASSERT(workload.EachAnsweredOnce());
  }));
}

// The slots of a dead router must go to the others, or its share of the fleet
// idles.
BOOST_AUTO_TEST_CASE(slots_of_a_removed_router_are_freed) {
  PeerCluster cluster(3, 7, true, MakeConfig(1, 2, 32));
  cluster.Run(seconds(5));
  const int owner = OwnerIndex(cluster, 3);
  const int dead = (owner + 1) % 3;
  SlotWorkload workload(cluster);
  workload.Start(dead);
  workload.Start(dead);
  cluster.Run(seconds(1));
  BOOST_TEST(workload.Running().size() == 2U);
  const RequestId waiting = workload.Start(owner);
  cluster.Run(seconds(1));
  BOOST_TEST(workload.at(waiting).answers == 0);
  cluster.Kill(PeerCluster::IdOf(dead));
  BOOST_TEST(
      cluster
          .RunUntil([&] { return workload.at(waiting).backend.has_value(); },
                    seconds(10))
          .has_value());
}

// A request for a pool without backend servers must not wait for ever.
BOOST_AUTO_TEST_CASE(a_pool_without_backend_servers_is_refused) {
  PeerCluster cluster(1, 8, true, MakeConfig(0, 1, 32));
  SlotWorkload workload(cluster);
  const RequestId id = workload.Start(0);
  BOOST_TEST(workload.at(id).answers == 1);
  BOOST_TEST((workload.at(id).refusal == ErrorCode::kNoBackend));
}

// A changed configuration moves servers between cells; requests that run or
// wait there must still end and free their slots.
BOOST_AUTO_TEST_CASE(requests_survive_a_reconfiguration_of_cells) {
  BOOST_TEST(rc::check("change of cells", [] {
    const int routers = 3;
    PeerCluster cluster(routers, *rc::gen::arbitrary<std::uint64_t>(), true,
                        MakeConfig(8, 1, 3));
    WaitForStableOwners(cluster);
    SlotWorkload workload(cluster);
    for (int i = 0; i < 12; ++i)
      workload.Start(RandomBelow(routers));
    cluster.Run(Millis(200));
    const ServiceConfig changed =
        MakeConfig(1 + RandomBelow(12), 1, 1 + RandomBelow(4));
    for (const auto& [id, router] : cluster.routers) {
      router->broker->Configure(changed);
      if (RandomBelow(2) == 0)
        cluster.Step();
    }
    for (int i = 0; i < 30; ++i)
      RunRandomOperation(cluster, workload, routers);
    RC_ASSERT(Drain(cluster, workload));
    RC_ASSERT(workload.EachAnsweredOnce());
  }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
