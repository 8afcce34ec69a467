#include "gateway/placement/server_health.h"

#include <boost/test/unit_test.hpp>

#include "instants.h"

namespace bamboomount {
namespace {

const BackendId kServer("e");

std::vector<EjectedServer> EjectionReport() {
  return {{kServer, Millis(1000)}};
}

BOOST_AUTO_TEST_SUITE(server_health)

// Guards against a server that is ejected because of a single failed request,
// and against a failing one that is tried again at short intervals for ever.
BOOST_AUTO_TEST_CASE(consecutive_failures_eject_a_server_for_doubling_times) {
  ServerHealth health;
  health.RecordFailure(kServer, ServerFailure::kNoResponse, At(0));
  health.RecordFailure(kServer, ServerFailure::kNoResponse, At(0));
  BOOST_TEST(!health.IsEjected(kServer, At(1)));
  health.RecordFailure(kServer, ServerFailure::kNoResponse, At(0));
  BOOST_TEST(health.IsEjected(kServer, At(400)));
  BOOST_TEST(!health.IsEjected(kServer, At(600)));
  // The first request after the ejection fails as well.
  health.RecordFailure(kServer, ServerFailure::kNoResponse, At(600));
  BOOST_TEST(health.IsEjected(kServer, At(1400)));
  health.RecordSuccess(kServer, Millis(10), Millis(100));
  BOOST_TEST(!health.IsEjected(kServer, At(1400)));
  BOOST_TEST(!health.HasFailures(kServer));
}

// Guards against an instance that keeps away from sound servers after its own
// network path had failed.
BOOST_AUTO_TEST_CASE(forgotten_failures_end_the_ejections) {
  ServerHealth health;
  health.RecordFailure(kServer, ServerFailure::kConnectionRefused, At(0));
  BOOST_TEST(health.IsEjected(kServer, At(1)));
  health.ForgetFailures();
  BOOST_TEST(!health.IsEjected(kServer, At(1)));
  BOOST_TEST(!health.HasFailures(kServer));
  BOOST_TEST(health.EjectedServers(At(1)).empty());
}

// Guards against requests that keep failing at a crashed engine, whose row
// remains in the store for some seconds: instances must not need several
// failures each to notice.
BOOST_AUTO_TEST_CASE(a_missing_server_is_ejected_after_one_failure) {
  ServerHealth health;
  health.RecordFailure(kServer, ServerFailure::kConnectionRefused, At(0));
  BOOST_TEST(health.IsEjected(kServer, At(1)));
  ServerHealth other;
  other.RecordFailure(kServer, ServerFailure::kReplaced, At(0));
  BOOST_TEST(other.IsEjected(kServer, At(3000)));
  // The row shows that the server was restarted.
  other.Reset(kServer);
  BOOST_TEST(!other.IsEjected(kServer, At(1)));
}

// Guards against a single instance without a path to a server that makes all
// others avoid it, and against the agreement of two instances being ignored.
BOOST_AUTO_TEST_CASE(
    two_peer_ejections_eject_and_one_lowers_the_failure_threshold) {
  ServerHealth health;
  health.SetRemoteEjections(InstanceId("a"), EjectionReport(), At(0));
  BOOST_TEST(!health.IsEjectedByPeers(kServer, At(1)));
  BOOST_TEST(!health.IsEjected(kServer, At(1)));
  health.SetRemoteEjections(InstanceId("b"), EjectionReport(), At(0));
  BOOST_TEST(health.IsEjectedByPeers(kServer, At(1)));
  BOOST_TEST(!health.IsEjectedByPeers(kServer, At(1500)));
  // A single failure here is enough if another instance has ejected the server.
  health.RecordFailure(kServer, ServerFailure::kNoResponse, At(0));
  BOOST_TEST(health.IsEjected(kServer, At(1)));
  BOOST_TEST(health.EjectedServers(At(1)).size() == 1U);
}

// Guards against reported ejections that remain after their cause has ended.
BOOST_AUTO_TEST_CASE(peer_ejections_end_with_an_update_or_a_success) {
  ServerHealth health;
  for (const char* name : {"a", "b", "c"})
    health.SetRemoteEjections(InstanceId(name), EjectionReport(), At(0));
  health.SetRemoteEjections(InstanceId("a"), {}, At(10));
  BOOST_TEST(health.IsEjectedByPeers(kServer, At(20)));
  health.SetRemoteEjections(InstanceId("b"), {}, At(10));
  BOOST_TEST(!health.IsEjectedByPeers(kServer, At(20)));
  health.SetRemoteEjections(InstanceId("b"), EjectionReport(), At(20));
  health.RecordSuccess(kServer, Millis(10), Millis(100));
  BOOST_TEST(!health.IsEjectedByPeers(kServer, At(30)));
}

// Guards against a slow server whose latency ratio does not approach the
// observed one.
BOOST_AUTO_TEST_CASE(latency_ratio_follows_the_observations) {
  ServerHealth health;
  BOOST_TEST(health.LatencyRatio(kServer) == 1);
  for (int i = 0; i < 50; ++i)
    health.RecordSuccess(kServer, Millis(400), Millis(100));
  BOOST_TEST(health.LatencyRatio(kServer) > 3.5);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
