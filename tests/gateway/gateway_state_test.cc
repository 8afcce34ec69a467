#include "gateway/gateway_state.h"

#include <boost/test/unit_test.hpp>

#include "instants.h"

namespace bamboomount {
namespace {

constexpr char kServer[] = "e-1";

// An instance that knows one backend server and whose store answers each 500 ms
// until its clock reads `last_answer`. The store's clock and the local one read
// the same.
struct Fixture {
  GatewayState state{InstanceSettings()};

  void AnswerUntil(int last_answer) {
    BackendServer server;
    server.id = BackendId(kServer);
    state.backends().Update(server, At(0));
    for (int time = 0; time <= last_answer; time += 500)
      state.backend_freshness().Confirm(At(time), Millis(time));
  }

  // Whether the server may get requests at `time`, when its row is removed.
  bool IsUsableAfterRemoval(int time) {
    state.backends().Remove(BackendId(kServer), At(time));
    state.backends().Expire(At(time));
    return state.backends().FindUsable(BackendId(kServer)) != nullptr;
  }
};

BOOST_FIXTURE_TEST_SUITE(gateway_state, Fixture)

// Guards against requests to a server that has left: one instance was frozen,
// took its own silence for an outage of the store, and its report let all
// others keep servers whose rows were removed.
BOOST_AUTO_TEST_CASE(a_recovery_of_a_store_that_answered_is_ignored) {
  AnswerUntil(10000);
  state.OnReportedStoreRecovery(Millis(10010), At(10020));
  BOOST_TEST(!IsUsableAfterRemoval(10100));
  // The report is repeated until there is another one.
  state.OnReportedStoreRecovery(Millis(10010), At(90000));
  BOOST_TEST((state.store_recovery_time() == Millis(0)));
}

// Guards against servers that are dropped after an outage, because the first
// answer after it arrives before the report.
BOOST_AUTO_TEST_CASE(a_recovery_after_an_outage_keeps_lapsed_servers) {
  AnswerUntil(10000);
  state.backend_freshness().Confirm(At(13000), Millis(13000));
  state.OnReportedStoreRecovery(Millis(13000), At(13010));
  BOOST_TEST(IsUsableAfterRemoval(13100));
  BOOST_TEST((state.store_recovery_time() == Millis(13000)));
}

// Guards against streams of two versions at an instance that was cut off from
// the store: others, cut off like it, repeated an old confirmation of the list
// several times a second, and the time in which a version came and left unseen
// counted as seen.
BOOST_AUTO_TEST_CASE(a_confirmation_that_is_repeated_proves_nothing_new) {
  constexpr int kCutMs = 60'000;
  constexpr int kHealedMs = 65'000;
  constexpr int kGossipMs = 150;
  PoolVersionHistory& history = state.pool_versions();
  const auto only = [&](int time) {
    return history.OnlyVersion(PoolId("engines"), At(time));
  };
  history.RecordGap(At(0));
  history.SetListed({{PoolId("engines"), {SoftwareVersion("v1")}}}, At(0));
  for (int time = 0; time <= kCutMs; time += 500)
    state.ConfirmBackends(At(time), Millis(time));
  for (int time = kCutMs; time < kHealedMs; time += kGossipMs)
    state.ConfirmBackendsByPeer(Millis(kCutMs), At(time));
  BOOST_TEST(!history.IsConfirmedSince(At(kCutMs + 1)));
  BOOST_TEST((only(kCutMs) == SoftwareVersion("v1")));
  state.ConfirmBackendsByPeer(Millis(kHealedMs), At(kHealedMs));
  BOOST_TEST(history.IsConfirmedSince(At(kHealedMs)));
  BOOST_TEST(!only(kHealedMs).has_value());
}

// Guards against an instance that wakes and relies on a list of servers from
// before it stood still, or on a confirmation that waited for it meanwhile.
BOOST_AUTO_TEST_CASE(a_list_from_before_a_pause_is_not_current) {
  constexpr int kStopped = 1000;
  constexpr int kWoken = 2000;
  constexpr int kTick = 250;
  for (int time = 0; time <= kStopped; time += kTick) {
    state.RecordRunning(At(time));
    state.ConfirmBackends(At(time), Millis(time));
    BOOST_TEST(state.BackendVersionsAreCurrent(At(time + kTick)));
  }
  BOOST_TEST(!state.BackendVersionsAreCurrent(At(kWoken)));
  state.ConfirmBackendsByPeer(Millis(kWoken - kTick), At(kWoken));
  BOOST_TEST(!state.BackendVersionsAreCurrent(At(kWoken)));
  state.RecordRunning(At(kWoken));
  BOOST_TEST(!state.BackendVersionsAreCurrent(At(kWoken)));
  state.ConfirmBackendsByPeer(Millis(kWoken + 1), At(kWoken + 2));
  BOOST_TEST(state.BackendVersionsAreCurrent(At(kWoken + 2)));
}

// Guards against streams of two software versions: a server of a copy of the
// store turned out to be live and got requests, but its version did not count.
BOOST_AUTO_TEST_CASE(the_version_of_a_server_that_a_copy_brought_back_counts) {
  const PoolId pool("p");
  BackendServer old_server;
  old_server.id = BackendId("e-old");
  old_server.pool = pool;
  old_server.version = SoftwareVersion("v1");
  old_server.started_at_ms = 1;
  BackendServer new_server = old_server;
  new_server.id = BackendId("e-new");
  new_server.version = SoftwareVersion("v2");
  state.backends().Update(old_server, At(0));
  state.backends().Update(new_server, At(0));
  state.backends().Remove(old_server.id, At(0));
  state.backends().OnStoreRestored(At(0));
  state.backends().Replace({old_server, new_server}, At(0));
  state.pool_versions().SetListed(state.backends().ListedVersions(), At(0));
  BOOST_TEST(!state.pool_versions().HasSeveral(pool, At(0)));
  const Instant released = At(0) + BackendRegistry::kCopiedRowLifetime;
  state.ExpireBackends(released);
  BOOST_TEST(state.backends().Usable(pool).size() == 2U);
  BOOST_TEST(state.pool_versions().HasSeveral(pool, released));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
