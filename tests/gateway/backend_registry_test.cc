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

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
