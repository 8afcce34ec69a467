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

// Guards against a server that is left out for a single request that failed.
BOOST_AUTO_TEST_CASE(consecutive_failures_eject_a_server_for_doubling_times) {
  ServerHealth health;
  health.RecordFailure(kServer, ServerFailure::kNoResponse, At(0));
  health.RecordFailure(kServer, ServerFailure::kNoResponse, At(0));
  BOOST_TEST(!health.IsEjected(kServer, At(1)));
  health.RecordFailure(kServer, ServerFailure::kNoResponse, At(0));
  BOOST_TEST(health.IsEjected(kServer, At(400)));
  BOOST_TEST(!health.IsEjected(kServer, At(600)));
  // The first request after it fails as well.
  health.RecordFailure(kServer, ServerFailure::kNoResponse, At(600));
  BOOST_TEST(health.IsEjected(kServer, At(1400)));
  health.RecordSuccess(kServer, Millis(10), Millis(100));
  BOOST_TEST(!health.IsEjected(kServer, At(1400)));
  BOOST_TEST(!health.HasFailures(kServer));
}

// Pattern: engines crash while their rows still stand for some seconds. Guards
// against each request of each instance finding that out by itself.
BOOST_AUTO_TEST_CASE(a_missing_server_is_ejected_after_one_failure) {
  ServerHealth health;
  health.RecordFailure(kServer, ServerFailure::kConnectionRefused, At(0));
  BOOST_TEST(health.IsEjected(kServer, At(1)));
  ServerHealth other;
  other.RecordFailure(kServer, ServerFailure::kReplaced, At(0));
  BOOST_TEST(other.IsEjected(kServer, At(3000)));
  // The row says that the server was started again.
  other.Reset(kServer);
  BOOST_TEST(!other.IsEjected(kServer, At(1)));
}

// Guards against one instance that has lost its way to a server and talks all
// others out of using it, and against two that are not believed.
BOOST_AUTO_TEST_CASE(
    two_peer_ejections_eject_and_one_lowers_the_failure_threshold) {
  ServerHealth health;
  health.SetRemoteEjections(InstanceId("a"), EjectionReport(), At(0));
  BOOST_TEST(!health.IsEjectedByPeers(kServer, At(1)));
  BOOST_TEST(!health.IsEjected(kServer, At(1)));
  health.SetRemoteEjections(InstanceId("b"), EjectionReport(), At(0));
  BOOST_TEST(health.IsEjectedByPeers(kServer, At(1)));
  BOOST_TEST(!health.IsEjectedByPeers(kServer, At(1500)));
  // An own failure beside a report is enough.
  health.RecordFailure(kServer, ServerFailure::kNoResponse, At(0));
  BOOST_TEST(health.IsEjected(kServer, At(1)));
  BOOST_TEST(health.EjectedServers(At(1)).size() == 1U);
}

// Guards against reports that outlive their cause.
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

// Guards against a slow server that is judged by a single answer.
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
