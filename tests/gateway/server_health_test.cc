#include "gateway/placement/server_health.h"

#include <boost/test/unit_test.hpp>

#include "instants.h"

namespace bamboomount {
namespace {

const BackendId kServer("e");

std::vector<EjectedServer> Report() {
  return {{kServer, Millis(1000)}};
}

BOOST_AUTO_TEST_SUITE(server_health)

// Guards against a server that is left out for a single request that failed.
BOOST_AUTO_TEST_CASE(failures_in_a_row_leave_a_server_out_for_growing_times) {
  ServerHealth health;
  health.NoteFailure(kServer, ServerFailure::kNoAnswer, At(0));
  health.NoteFailure(kServer, ServerFailure::kNoAnswer, At(0));
  BOOST_TEST(!health.IsEjected(kServer, At(1)));
  health.NoteFailure(kServer, ServerFailure::kNoAnswer, At(0));
  BOOST_TEST(health.IsEjected(kServer, At(400)));
  BOOST_TEST(!health.IsEjected(kServer, At(600)));
  // The first request after it fails as well.
  health.NoteFailure(kServer, ServerFailure::kNoAnswer, At(600));
  BOOST_TEST(health.IsEjected(kServer, At(1400)));
  health.NoteSuccess(kServer, Millis(10), Millis(100));
  BOOST_TEST(!health.IsEjected(kServer, At(1400)));
  BOOST_TEST(!health.HasFailures(kServer));
}

// Pattern: engines crash while their rows still stand for some seconds. Guards
// against each request of each instance finding that out by itself.
BOOST_AUTO_TEST_CASE(a_server_that_is_not_there_is_left_out_at_once) {
  ServerHealth health;
  health.NoteFailure(kServer, ServerFailure::kRefused, At(0));
  BOOST_TEST(health.IsEjected(kServer, At(1)));
  ServerHealth other;
  other.NoteFailure(kServer, ServerFailure::kReplaced, At(0));
  BOOST_TEST(other.IsEjected(kServer, At(3000)));
  // The row says that the server was started again.
  other.Forget(kServer);
  BOOST_TEST(!other.IsEjected(kServer, At(1)));
}

// Guards against one instance that has lost its way to a server and talks all
// others out of using it, and against two that are not believed.
BOOST_AUTO_TEST_CASE(two_others_are_believed_and_one_makes_careful) {
  ServerHealth health;
  health.NoteReport(InstanceId("a"), Report(), At(0));
  BOOST_TEST(!health.IsReported(kServer, At(1)));
  BOOST_TEST(!health.IsEjected(kServer, At(1)));
  health.NoteReport(InstanceId("b"), Report(), At(0));
  BOOST_TEST(health.IsReported(kServer, At(1)));
  BOOST_TEST(!health.IsReported(kServer, At(1500)));
  // An own failure beside a report is enough.
  health.NoteFailure(kServer, ServerFailure::kNoAnswer, At(0));
  BOOST_TEST(health.IsEjected(kServer, At(1)));
  BOOST_TEST(health.Ejected(At(1)).size() == 1U);
}

// Guards against reports that outlive their cause.
BOOST_AUTO_TEST_CASE(reports_end_with_the_news_and_with_a_success) {
  ServerHealth health;
  for (const char* name : {"a", "b", "c"})
    health.NoteReport(InstanceId(name), Report(), At(0));
  health.NoteReport(InstanceId("a"), {}, At(10));
  BOOST_TEST(health.IsReported(kServer, At(20)));
  health.NoteReport(InstanceId("b"), {}, At(10));
  BOOST_TEST(!health.IsReported(kServer, At(20)));
  health.NoteReport(InstanceId("b"), Report(), At(20));
  health.NoteSuccess(kServer, Millis(10), Millis(100));
  BOOST_TEST(!health.IsReported(kServer, At(30)));
}

// Guards against a slow server that is judged by a single answer.
BOOST_AUTO_TEST_CASE(slowness_follows_the_answers) {
  ServerHealth health;
  BOOST_TEST(health.Slowness(kServer) == 1);
  for (int i = 0; i < 50; ++i)
    health.NoteSuccess(kServer, Millis(400), Millis(100));
  BOOST_TEST(health.Slowness(kServer) > 3.5);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
