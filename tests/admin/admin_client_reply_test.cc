#include <boost/test/unit_test.hpp>
#include <chrono>
#include <optional>
#include <string>

#include "admin/admin.h"
#include "support/reply_checks.h"

namespace bamboomount {
namespace {

using support::CheckDelivered;
using support::CheckNoAnswer;
using support::ReplyExamples;

constexpr std::chrono::seconds kTimeout{5};
constexpr char kBody[] = "[]";
constexpr char kFields[] = "Content-Type: application/json\r\n";

// What the operator's client takes for a listing of an instance.
std::optional<std::string> ListingFrom(const std::string& address) {
  const AdminClient client(address, "operator-token-for-tests", kTimeout);
  const auto history = client.ConfigHistory();
  if (!history)
    return std::nullopt;
  return kBody;
}

BOOST_AUTO_TEST_SUITE(admin_client_reply)

// Guards against a broken answer of an instance that an operator takes for the
// state of the fleet.
BOOST_AUTO_TEST_CASE(a_broken_response_fails) {
  const ReplyExamples examples(kFields, kBody);
  CheckNoAnswer(examples.InvalidStatuses(), ListingFrom);
  CheckNoAnswer(examples.InvalidFields(), ListingFrom);
  CheckNoAnswer(examples.TruncatedHeads(), ListingFrom);
  CheckNoAnswer(examples.TruncatedBodies(), ListingFrom);
}

// Guards against checks that refuse sound answers.
BOOST_AUTO_TEST_CASE(a_sound_response_is_delivered) {
  CheckDelivered(ReplyExamples(kFields, kBody).SoundReplies(), kBody,
                 ListingFrom);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
