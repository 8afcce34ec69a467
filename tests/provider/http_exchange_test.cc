#include "provider/internal/http_exchange.h"

#include <boost/test/unit_test.hpp>
#include <string>

#include "support/framing_examples.h"
#include "support/raw_server.h"

namespace bamboomount::internal {
namespace {

constexpr Millis kTimeout{5000};

BOOST_AUTO_TEST_SUITE(http_exchange)

// Guards against a response of the platform that is taken for complete although
// the end of its body is in doubt.
BOOST_AUTO_TEST_CASE(a_response_with_an_ambiguous_end_fails) {
  const std::string body = "{}";
  for (const auto& framing : support::AmbiguousFramings(body.size())) {
    BOOST_TEST_CONTEXT(framing.name) {
      support::RawServer server(framing.version + " 200 OK\r\n" +
                                framing.fields + "\r\n" + body);
      const auto response =
          SendRequest(server.address(), {"GET", "/", {}}, kTimeout);
      BOOST_REQUIRE(!response.has_value());
      BOOST_TEST((response.error().verdict == RunVerdict::kMayHaveRun));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount::internal
