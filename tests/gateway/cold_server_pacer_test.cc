#include "gateway/placement/cold_server_pacer.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "instants.h"

namespace bamboomount {
namespace {

constexpr int kInstances = 85;

Pool PacedPool() {
  Pool pool;
  pool.id = PoolId("engines");
  pool.cold_start = Millis(3000);
  pool.cold_requests_per_s = 17;
  return pool;
}

BackendServer ColdServer() {
  BackendServer server;
  server.id = BackendId("e-1");
  server.pool = PoolId("engines");
  server.zone = ZoneId("a");
  server.started_at_ms = 1'700'000'000'000;
  server.cold_remaining = Millis(2500);
  return server;
}

InstanceId Name(int index) {
  return InstanceId("front-" + std::to_string(index));
}

// The pacers of a fleet whose instances all know each other.
class Fleet {
 public:
  explicit Fleet(int instances = kInstances) {
    for (int i = 0; i < instances; ++i)
      members_.Update(MemberNamed(Name(i)), RowVersion(1), At(0));
    for (int i = 0; i < instances; ++i)
      pacers_.push_back(std::make_unique<ColdServerPacer>(Name(i), members_));
  }

  std::vector<std::unique_ptr<ColdServerPacer>>& pacers() { return pacers_; }

  // Lets each instance send whenever it may, every 5 ms from `from` to `to`.
  // Returns when requests were sent.
  std::vector<int> SendGreedily(const BackendServer& server, int from, int to) {
    const Pool pool = PacedPool();
    std::vector<int> sent;
    for (int now = from; now < to; now += 5) {
      for (auto& pacer : pacers_) {
        if (!pacer->MaySend(server, pool, At(now)))
          continue;
        pacer->RecordSent(server.id, At(now));
        sent.push_back(now);
      }
    }
    return sent;
  }

 private:
  static Member MemberNamed(const InstanceId& instance) {
    Member member;
    member.instance = instance;
    return member;
  }

  MemberRegistry members_;
  std::vector<std::unique_ptr<ColdServerPacer>> pacers_;
};

// The largest number of requests in any span of one second.
std::size_t MostInOneSecond(const std::vector<int>& sent) {
  std::size_t most = 0;
  for (std::size_t i = 0; i < sent.size(); ++i) {
    std::size_t end = i;
    while (end < sent.size() && sent[end] < sent[i] + 1000)
      ++end;
    most = std::max(most, end - i);
  }
  return most;
}

BOOST_AUTO_TEST_SUITE(cold_server_pacer)

// Load: 85 instances find a server that has just started. Guards against a sum
// of small parts that floods it: 32 requests in one second at 17 a second.
BOOST_AUTO_TEST_CASE(a_fleet_does_not_flood_a_cold_server) {
  Fleet fleet;
  for (auto& pacer : fleet.pacers())
    pacer->RecordListed(ColdServer(), At(0));
  const auto sent = fleet.SendGreedily(ColdServer(), 0, 2400);
  BOOST_TEST(MostInOneSecond(sent) <= 17U);
  // Guards against a server that is left idle while it is cold.
  BOOST_TEST(sent.size() >= 24U);
}

// Guards against a limit on servers that are warm.
BOOST_AUTO_TEST_CASE(a_warm_server_is_not_limited) {
  Fleet fleet(1);
  BOOST_TEST(fleet.SendGreedily(ColdServer(), 0, 1000).size() == 200U);
  fleet.pacers()[0]->RecordListed(ColdServer(), At(1000));
  BOOST_TEST(fleet.SendGreedily(ColdServer(), 3500, 4500).size() == 200U);
}

// Guards against a limit where the configuration sets none.
BOOST_AUTO_TEST_CASE(a_pool_without_a_rate_is_not_limited) {
  Fleet fleet(1);
  fleet.pacers()[0]->RecordListed(ColdServer(), At(0));
  BOOST_TEST(fleet.pacers()[0]->MaySend(ColdServer(), Pool(), At(0)));
  BOOST_TEST(!fleet.pacers()[0]->IsCold(ColdServer(), Pool(), At(0)));
}

// Load: all servers of a zone go dark and return together, under the same ids.
// Guards against a flood before their rows say that they are cold.
BOOST_AUTO_TEST_CASE(a_server_that_was_unreachable_counts_as_cold) {
  Fleet fleet;
  ColdServerPacer& witness = *fleet.pacers()[0];
  witness.RecordUnreachable(ColdServer().id, At(0));
  for (auto& pacer : fleet.pacers())
    pacer->MergeUnreachable(witness.Unreachable(At(500)), At(500));
  const auto sent = fleet.SendGreedily(ColdServer(), 500, 10'900);
  BOOST_TEST(MostInOneSecond(sent) <= 17U);
  BOOST_TEST(!witness.IsCold(ColdServer(), PacedPool(), At(11'000)));
  BOOST_TEST(witness.Unreachable(At(8000)).empty());
}

// Guards against an instance that reports all servers as unreachable, so that
// all instances send them few requests, after its own network path had failed.
BOOST_AUTO_TEST_CASE(forgotten_servers_are_neither_cold_nor_reported) {
  Fleet fleet;
  ColdServerPacer& pacer = *fleet.pacers()[0];
  pacer.RecordUnreachable(ColdServer().id, At(0));
  BOOST_TEST(pacer.IsCold(ColdServer(), PacedPool(), At(500)));
  pacer.ForgetUnreachable();
  BOOST_TEST(!pacer.IsCold(ColdServer(), PacedPool(), At(500)));
  BOOST_TEST(pacer.Unreachable(At(500)).empty());
}

// Load: servers that crash and return while traffic goes on. Guards against a
// server that is kept at the rate of a cold one although its row, written after
// its return, says that it is warm.
BOOST_AUTO_TEST_CASE(a_newer_row_ends_the_doubt_about_a_server) {
  Fleet fleet;
  ColdServerPacer& pacer = *fleet.pacers()[0];
  pacer.RecordUnreachable(ColdServer().id, At(0));
  pacer.RecordAlive(ColdServer().id, At(1000));
  BOOST_TEST(!pacer.IsCold(ColdServer(), PacedPool(), At(1000)));
  pacer.MergeUnreachable({{ColdServer().id, Millis(800)}}, At(1500));
  BOOST_TEST(!pacer.IsCold(ColdServer(), PacedPool(), At(1500)));
  pacer.RecordUnreachable(ColdServer().id, At(1600));
  BOOST_TEST(pacer.IsCold(ColdServer(), PacedPool(), At(1600)));
}

// Load: an evacuated zone is given back with cold servers. Guards against a
// flood before their rows say so.
BOOST_AUTO_TEST_CASE(servers_are_cold_after_the_evacuation_of_their_zone) {
  Fleet fleet;
  for (auto& pacer : fleet.pacers())
    pacer->RecordEvacuationEnd(ZoneId("a"), At(0));
  BOOST_TEST(MostInOneSecond(fleet.SendGreedily(ColdServer(), 0, 2900)) <= 17U);
  BOOST_TEST(!fleet.pacers()[0]->IsCold(ColdServer(), PacedPool(), At(3000)));
}

// Load: another process starts under the id of a server, and its row does not
// say yet that it is cold. Guards against a flood until it does.
BOOST_AUTO_TEST_CASE(a_restarted_server_counts_as_cold) {
  Fleet fleet;
  for (auto& pacer : fleet.pacers())
    pacer->RecordRestart(ColdServer().id, At(0));
  BOOST_TEST(MostInOneSecond(fleet.SendGreedily(ColdServer(), 0, 2900)) <= 17U);
  BOOST_TEST(!fleet.pacers()[0]->IsCold(ColdServer(), PacedPool(), At(3000)));
}

// Guards against an instance that has just started and takes itself for the
// only one.
BOOST_AUTO_TEST_CASE(an_instance_without_a_row_sends_nothing_to_cold_servers) {
  MemberRegistry members;
  ColdServerPacer pacer(Name(0), members);
  pacer.RecordListed(ColdServer(), At(0));
  BOOST_TEST(!pacer.MaySend(ColdServer(), PacedPool(), At(0)));
}

// Guards against a single owner that does not use the rate of the server.
BOOST_AUTO_TEST_CASE(a_single_instance_may_use_the_whole_rate) {
  Fleet fleet(1);
  fleet.pacers()[0]->RecordListed(ColdServer(), At(0));
  BOOST_TEST(MostInOneSecond(fleet.SendGreedily(ColdServer(), 0, 2400)) == 17U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
