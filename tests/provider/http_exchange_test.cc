#include "provider/http_exchange.h"

#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>

#include "support/endless_server.h"
#include "support/framing_examples.h"
#include "support/reply_checks.h"

namespace bamboomount {
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

std::optional<std::string> AnswerFrom(const std::string& address) {
  return BodyFrom(address, 2);
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

// Guards against a status that HTTP does not have: the platform's answer was
// taken for a refusal, which promises that nothing was done.
BOOST_AUTO_TEST_CASE(a_response_with_an_invalid_status_fails) {
  CheckNoAnswer(ReplyExamples(kFields, kBody).InvalidStatuses(), AnswerFrom);
}

// Guards against a body that is not the platform's, behind a field whose name
// holds a blank or a control byte.
BOOST_AUTO_TEST_CASE(a_response_with_an_invalid_field_fails) {
  CheckNoAnswer(ReplyExamples(kFields, kBody).InvalidFields(), AnswerFrom);
}

// Guards against rows or objects that are cut short because the connection
// closed too early.
BOOST_AUTO_TEST_CASE(a_response_that_ends_early_fails) {
  CheckNoAnswer(ReplyExamples(kFields, kBody).TruncatedHeads(), AnswerFrom);
  CheckNoAnswer(ReplyExamples(kFields, kBody).TruncatedBodies(), AnswerFrom);
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

// Guards against an informational response that is taken for the answer, and
// against checks that refuse sound answers.
BOOST_AUTO_TEST_CASE(a_sound_response_is_delivered) {
  CheckDelivered(ReplyExamples(kFields, kBody).SoundReplies(), kBody,
                 AnswerFrom);
}

// Guards against a process that runs out of memory when the platform sends
// bytes that are no answer.
BOOST_AUTO_TEST_CASE(bytes_without_an_end_are_cut_off) {
  // The largest body, and what socket buffers take besides.
  constexpr std::size_t kMaxBytes = 96U << 20U;
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string extension(1'000, 'x');
  const EndlessReply examples[] = {
      {"status line", "", "xxxxxxxxxx"},
      {"field", "HTTP/1.1 200 OK\r\nX-Odd: ", "xxxxxxxxxx"},
      {"fields", "HTTP/1.1 200 OK\r\n", "X-Odd: 1\r\n"},
      {"informational responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
      {"body until the close", "HTTP/1.1 200 OK\r\n\r\n", "xxxxxxxxxx"},
      {"chunk header", chunked + "8;x=", "xxxxxxxxxx"},
      {"chunk extensions", chunked, "1;" + extension + "\r\n1\r\n"},
      {"trailers", chunked + "0\r\n", "X-Odd: 1\r\n"},
  };
  for (const EndlessReply& example : examples) {
    BOOST_TEST_CONTEXT(example.name) {
      EndlessServer server(example);
      BOOST_TEST(!AnswerFrom(server.address()).has_value());
      BOOST_TEST(server.bytes_written() < kMaxBytes);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
