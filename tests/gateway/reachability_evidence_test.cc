#include "gateway/relay/reachability_evidence.h"

#include <boost/test/unit_test.hpp>

#include "instants.h"

namespace bamboomount {
namespace {

const BackendId kFirst("e-1");
const BackendId kSecond("e-2");

BOOST_AUTO_TEST_SUITE(reachability_evidence)

// Guards against probes because a single server fails, however often.
BOOST_AUTO_TEST_CASE(failures_of_one_server_are_not_suspicious) {
  ReachabilityEvidence evidence;
  evidence.RecordFailedConnect(kFirst, At(0));
  evidence.RecordFailedConnect(kFirst, At(10));
  BOOST_TEST(!evidence.ConnectsFail(At(10)));
  evidence.RecordFailedConnect(kSecond, At(20));
  BOOST_TEST(evidence.ConnectsFail(At(20)));
  BOOST_TEST(!evidence.ConnectsFail(At(1500)));
}

// Guards against probes of a fleet that answers: bytes of any server end the
// silence.
BOOST_AUTO_TEST_CASE(bytes_of_a_server_end_the_silence) {
  ReachabilityEvidence evidence;
  evidence.RecordSent(At(0));
  evidence.RecordSent(At(390));
  BOOST_TEST(!evidence.IsSilent(At(390)));
  BOOST_TEST(evidence.IsSilent(At(410)));
  evidence.RecordBytes();
  BOOST_TEST(!evidence.IsSilent(At(900)));
}

// Guards against an instance that counts itself as cut off although a server
// answers, or because the only server that it could probe does not.
BOOST_AUTO_TEST_CASE(only_silence_of_several_probes_is_a_cut) {
  ReachabilityEvidence evidence;
  BOOST_TEST(!evidence.RecordProbes({kFirst}, {}, At(0)));
  BOOST_TEST(!evidence.RecordProbes({kFirst, kSecond}, {kSecond}, At(0)));
  BOOST_TEST(evidence.IsTrusted(At(500)));
  BOOST_TEST(evidence.RecordProbes({kFirst, kSecond}, {}, At(2000)));
  BOOST_TEST(evidence.IsCutOff());
}

// Guards against a cut that counts as healed because one server is reached
// again, and against one that never heals.
BOOST_AUTO_TEST_CASE(two_servers_that_answer_end_a_cut) {
  ReachabilityEvidence evidence;
  const std::set<BackendId> both{kFirst, kSecond};
  evidence.RecordProbes(both, {}, At(0));
  BOOST_TEST(!evidence.RecordProbes(both, {kFirst}, At(200)));
  BOOST_TEST(!evidence.RecordProbes(both, {}, At(400)));
  BOOST_TEST(!evidence.RecordProbes(both, {kSecond}, At(600)));
  BOOST_TEST(evidence.RecordProbes(both, {kFirst}, At(800)));
  BOOST_TEST(!evidence.IsCutOff());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
