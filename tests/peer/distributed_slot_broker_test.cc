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

// Runs the cluster until the rosters agree and owners have collected reports.
void WaitForStableOwners(PeerCluster& cluster) {
  RC_ASSERT(
      cluster.RunUntil([&] { return cluster.RostersAgree(); }, seconds(60))
          .has_value());
  cluster.Run(seconds(1));
}

// Runs one random operation on the workload: starts, releases or cancels a
// request.
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

// Virtual time within which all requests must end. Removal of a dead owner
// takes 6 to 7 s, and a lost release is found after 3 s. A slot that nobody
// releases is freed only after 18 s, so the limit also detects missing
// releases.
constexpr seconds kDrainLimit{14};

// Releases requests until all have ended; returns false if some are left after
// kDrainLimit.
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

// Returns the number of the instance that owns the only cell of a one-cell
// configuration.
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

// Guards against an owner that grants more slots than a backend server has,
// which would slow down all streams on that server. Duplicated and reordered
// messages could cause it. Delays stay below the acknowledgment timeout, so
// that only owners grant slots and no router uses its local budget.
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

// Guards against requests that get no response, which hang their callers, or
// two responses, which take two slots, and against slots that are never freed,
// which shrink the fleet. Lost, duplicated and delayed messages and the death
// of an owner could cause each of these.
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

// Guards against a new owner that does not know the running requests and grants
// their slots a second time. It learns of them only from the reports of the
// other routers.
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

// Guards against violations of the tier order (invariant I1) between requests
// of different routers that share an owner: a free slot must not go to a lower
// tier while a higher one waits. One grant in 16 may go to the class that has
// waited longest.
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

// Guards against overcommitted backend servers while the owner is unreachable:
// each router then grants slots on its own and must stay within its share, so
// that all routers together stay within the slots.
BOOST_AUTO_TEST_CASE(local_budget_limits_slots_when_owner_is_unreachable) {
  BOOST_TEST(rc::check("local budget", [] {
    const int routers = 3;
    const int slots = 3 * (1 + RandomBelow(3)) + RandomBelow(3);
    PeerCluster cluster(routers, *rc::gen::arbitrary<std::uint64_t>(), true,
                        MakeConfig(2, slots, 32));
    WaitForStableOwners(cluster);
    const int owner = OwnerIndex(cluster, routers);
    // The owner is dead but still in the rosters of the others.
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

// Guards against slots that stay allocated to a dead router, which never
// releases them. Its share of the fleet would be idle.
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

// Guards against a request that waits forever because its pool has no backend
// server and therefore no cell with an owner that could refuse it.
BOOST_AUTO_TEST_CASE(a_pool_without_backend_servers_is_refused) {
  PeerCluster cluster(1, 8, true, MakeConfig(0, 1, 32));
  SlotWorkload workload(cluster);
  const RequestId id = workload.Start(0);
  BOOST_TEST(workload.at(id).answers == 1);
  BOOST_TEST((workload.at(id).refusal == ErrorCode::kNoBackend));
}

// Guards against requests that never end, or slots that are never freed, when a
// new configuration moves backend servers to other cells. Routers apply the
// configuration at different times.
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
