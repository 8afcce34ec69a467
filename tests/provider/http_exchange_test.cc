#include "provider/internal/http_exchange.h"

#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>

#include "support/endless_server.h"
#include "support/framing_examples.h"
#include "support/reply_checks.h"

namespace bamboomount::internal {
namespace {

using support::CheckDelivered;
using support::CheckNoAnswer;
using support::ConnectionEnd;
using support::EndlessReply;
using support::EndlessServer;
using support::ReplyExamples;

constexpr Millis kTimeout{5000};
constexpr char kBody[] = R"({"rows":[]})";
constexpr char kFields[] = "Content-Type: application/json\r\n";
// Larger than the buffers of the connection to a RawServer.
constexpr std::size_t kUploadBytes = 16'777'216;

std::optional<std::string> BodyFrom(const std::string& address,
                                    std::size_t upload_bytes) {
  const auto response = SendRequest(
      address, {"POST", "/", std::string(upload_bytes, 'x')}, kTimeout);
  if (response)
    return response.value().body;
  BOOST_TEST((response.error().verdict == RunVerdict::kMayHaveRun));
  return std::nullopt;
}

std::optional<std::string> UploadAnswerFrom(const std::string& address) {
  return BodyFrom(address, kUploadBytes);
}

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

// Guards against a part of a response that is taken for the whole when the
// connection is reset while the request is written.
BOOST_AUTO_TEST_CASE(a_response_that_is_reset_during_the_upload_fails) {
  CheckNoAnswer({{"part", "HTTP/1.1 200 OK\r\n\r\n{\"rows\":[]}"},
                 {"empty part", "HTTP/1.1 200 OK\r\n\r\n"}},
                UploadAnswerFrom, ConnectionEnd::kReset);
}

// Guards against an early answer that is lost because the platform does not
// read the rest of the request.
BOOST_AUTO_TEST_CASE(a_whole_response_during_the_upload_is_delivered) {
  CheckDelivered({{"with a length",
                   "HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\n{}"}},
                 "{}", UploadAnswerFrom, ConnectionEnd::kReset);
  CheckDelivered({{"until the close", "HTTP/1.1 413 Too Large\r\n\r\n{}"}},
                 "{}", UploadAnswerFrom, ConnectionEnd::kOrderlyThenReset);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount::internal
