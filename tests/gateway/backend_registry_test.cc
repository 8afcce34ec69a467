#include "gateway/membership/backend_registry.h"

#include <boost/test/unit_test.hpp>

#include "instants.h"

namespace bamboomount {
namespace {

BackendServer Server(const std::string& id, bool draining = false) {
  BackendServer server;
  server.id = BackendId(id);
  server.pool = PoolId("p");
  server.draining = draining;
  return server;
}

BOOST_AUTO_TEST_SUITE(backend_registry)

// Guards against new requests to a server that has announced that it will stop.
BOOST_AUTO_TEST_CASE(a_draining_server_is_listed_but_not_usable) {
  BackendRegistry registry;
  registry.Update(Server("a"), At(0));
  registry.Update(Server("a", true), At(0));
  BOOST_TEST(registry.Usable(PoolId("p")).empty());
  BOOST_TEST(registry.Listed(PoolId("p")).size() == 1U);
  BOOST_TEST(!registry.FindUsable(BackendId("a")));
}

// Guards against requests to the servers of a zone that the operator evacuates,
// and against servers that stay unused after its end.
BOOST_AUTO_TEST_CASE(servers_of_an_evacuated_zone_are_not_usable) {
  BackendRegistry registry;
  BackendServer server = Server("a");
  server.zone = ZoneId("z");
  registry.Update(server, At(0));
  registry.SetEvacuatedZones({ZoneId("z")});
  BOOST_TEST(registry.Usable(PoolId("p")).empty());
  BOOST_TEST(!registry.FindUsable(BackendId("a")));
  registry.SetEvacuatedZones({});
  BOOST_TEST(registry.Usable(PoolId("p")).size() == 1U);
}

// Guards against new requests to a server whose row was removed.
BOOST_AUTO_TEST_CASE(a_removed_server_is_gone_at_once) {
  BackendRegistry registry;
  registry.Update(Server("a"), At(0));
  registry.Remove(BackendId("a"), At(0));
  BOOST_TEST(registry.Usable(PoolId("p")).empty());
}

// Guards against an empty pool after an outage of the store: live servers could
// not renew their rows, which expired, and register again a little later.
BOOST_AUTO_TEST_CASE(
    a_lapsed_server_stays_usable_until_the_restore_window_ends) {
  BackendRegistry registry;
  registry.Update(Server("a"), At(0));
  registry.Update(Server("b"), At(0));
  registry.OnStoreRecovered(At(1000));
  registry.Replace({}, At(1000));
  BOOST_TEST(registry.Usable(PoolId("p")).size() == 2U);
  registry.Update(Server("a"), At(0));
  registry.Expire(At(1000) + BackendRegistry::kRestoreWindow);
  BOOST_TEST(registry.FindUsable(BackendId("a")) != nullptr);
  BOOST_TEST(!registry.FindUsable(BackendId("b")));
}

// Guards against new requests to a server that was already draining before the
// outage and whose row expired in it.
BOOST_AUTO_TEST_CASE(a_draining_server_that_lapsed_is_removed) {
  BackendRegistry registry;
  registry.Update(Server("a", true), At(0));
  registry.OnStoreRecovered(At(0));
  registry.Remove(BackendId("a"), At(0));
  BOOST_TEST(registry.Listed(PoolId("p")).empty());
}

// Guards against servers that stay usable for ever because their rows were
// removed long after an outage.
BOOST_AUTO_TEST_CASE(
    a_row_removed_after_the_restore_window_removes_the_server) {
  BackendRegistry registry;
  registry.Update(Server("a"), At(0));
  registry.OnStoreRecovered(At(0));
  registry.Remove(BackendId("a"), At(1) + BackendRegistry::kRestoreWindow);
  BOOST_TEST(registry.Usable(PoolId("p")).empty());
}

// Guards against requests to a server that is leaving after a row without a
// start time, which was taken for another process.
BOOST_AUTO_TEST_CASE(a_row_without_a_start_time_is_no_restart) {
  constexpr std::int64_t kStart = 1000;
  BackendRegistry registry;
  BackendServer server = Server("a");
  server.started_at_ms = kStart;
  registry.Update(server, At(0));
  BOOST_TEST(registry.MarkLeaving(server, At(0)));
  registry.Update(Server("a"), At(100));
  BOOST_TEST(!registry.FindUsable(BackendId("a")));
  registry.Update(server, At(200));
  BOOST_TEST(!registry.FindUsable(BackendId("a")));
  server.started_at_ms = kStart + 1;
  registry.Update(server, At(300));
  BOOST_TEST(registry.FindUsable(BackendId("a")) != nullptr);
}

BackendServer Process(const std::string& id,
                      std::int64_t started_at_ms,
                      bool draining = false) {
  BackendServer server = Server(id, draining);
  server.started_at_ms = started_at_ms;
  return server;
}

// Guards against new requests to servers that were seen leaving, gone or
// replaced: a copy of the store lists them as they were before.
BOOST_AUTO_TEST_CASE(a_copy_does_not_revert_what_is_known_of_a_process) {
  BackendRegistry registry;
  registry.Update(Process("draining", 1, true), At(0));
  registry.Update(Process("gone", 1), At(0));
  registry.Remove(BackendId("gone"), At(0));
  registry.Update(Process("replaced", 2), At(0));
  registry.OnStoreRestored(At(1000));
  registry.Replace(
      {Process("draining", 1), Process("gone", 1), Process("replaced", 1)},
      At(1000));
  BOOST_TEST(!registry.FindUsable(BackendId("draining")));
  BOOST_TEST(!registry.FindUsable(BackendId("gone")));
  const BackendServer* replaced = registry.FindUsable(BackendId("replaced"));
  BOOST_REQUIRE(replaced);
  BOOST_TEST(replaced->started_at_ms == 2);
}

// Guards against servers that stay unused after a restore: a restarted process,
// one that writes its row again, and one whose row had lapsed and that goes on
// renewing that of the copy.
BOOST_AUTO_TEST_CASE(live_servers_of_a_copy_are_used) {
  BackendRegistry registry;
  for (const char* id : {"restarted", "rewritten", "renewed"}) {
    registry.Update(Process(id, 1), At(0));
    registry.Remove(BackendId(id), At(0));
  }
  registry.OnStoreRestored(At(1000));
  registry.Replace({Process("restarted", 2), Process("rewritten", 1),
                    Process("renewed", 1), Process("unknown", 1)},
                   At(1000));
  BOOST_TEST(registry.FindUsable(BackendId("restarted")) != nullptr);
  BOOST_TEST(registry.FindUsable(BackendId("unknown")) != nullptr);
  BOOST_TEST(!registry.FindUsable(BackendId("rewritten")));
  registry.Update(Process("rewritten", 1), At(1100));
  BOOST_TEST(registry.FindUsable(BackendId("rewritten")) != nullptr);
  registry.Expire(At(999) + BackendRegistry::kCopiedRowLifetime);
  BOOST_TEST(!registry.FindUsable(BackendId("renewed")));
  registry.Expire(At(1000) + BackendRegistry::kCopiedRowLifetime);
  BOOST_TEST(registry.FindUsable(BackendId("renewed")) != nullptr);
}

// Guards against a server that is taken for live because its row was withheld
// for long enough, although the store has removed it meanwhile.
BOOST_AUTO_TEST_CASE(a_row_that_the_store_removes_again_is_not_used) {
  BackendRegistry registry;
  registry.Update(Process("gone", 1), At(0));
  registry.Remove(BackendId("gone"), At(0));
  registry.OnStoreRestored(At(1000));
  registry.Replace({Process("gone", 1)}, At(1000));
  registry.Remove(BackendId("gone"), At(4000));
  registry.Expire(At(1000) + BackendRegistry::kCopiedRowLifetime);
  BOOST_TEST(!registry.Find(BackendId("gone")));
}

// Guards against full reads that are mistrusted for ever after a restore.
BOOST_AUTO_TEST_CASE(full_reads_count_again_some_time_after_a_restore) {
  BackendRegistry registry;
  registry.Update(Process("a", 1), At(0));
  registry.OnStoreRestored(At(0));
  const Instant later = At(10'000);
  registry.Remove(BackendId("a"), later);
  registry.Replace({Process("a", 1)}, later);
  BOOST_TEST(registry.FindUsable(BackendId("a")) != nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
