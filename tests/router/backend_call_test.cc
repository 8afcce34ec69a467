#include "router/internal/backend_call.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <string>

#include "support/endless_server.h"
#include "support/framing_examples.h"
#include "support/reply_checks.h"

namespace bamboomount {
namespace {

using support::AmbiguousFramings;
using support::CheckDelivered;
using support::CheckNoAnswer;
using support::ConnectionEnd;
using support::EndlessReply;
using support::EndlessServer;
using support::FramingExample;
using support::RawServer;
using support::ReplyExamples;

constexpr Millis kTimeout{5000};
constexpr std::size_t kMaxBodyBytes = 1'048'576;
constexpr char kBody[] = "a certificate";
constexpr char kFields[] = "X-Request-Id: r\r\n";
// Larger than the buffers of the connection to a RawServer.
constexpr std::size_t kUploadBytes = 16'777'216;

// What a caller would get from a server.
struct Outcome {
  // Whether the whole request was sent.
  bool sent = false;
  std::optional<std::string> body;
  // Of the error, if there is no body.
  RunVerdict verdict = RunVerdict::kNotRun;
};

asio::awaitable<void> CallServer(std::shared_ptr<RunningRequest> running,
                                 const std::string& address,
                                 const BackendRequest& request,
                                 Outcome& outcome) {
  BackendCall call(*running);
  const auto connected = co_await call.Connect(address, kTimeout);
  BOOST_TEST(connected.has_value());
  const auto sent = co_await call.Send(request, kTimeout);
  outcome.sent = sent.has_value();
  if (!sent) {
    outcome.verdict = sent.error().verdict;
    co_return;
  }
  const auto head = co_await call.ReadHead(kTimeout);
  if (!head) {
    outcome.verdict = head.error().verdict;
    co_return;
  }
  const auto body = co_await call.ReadAll(kMaxBodyBytes, kTimeout);
  if (body)
    outcome.body = body.value();
  else
    outcome.verdict = body.error().verdict;
}

Outcome CallWithBody(const std::string& address, std::size_t upload_bytes) {
  BackendRequest request(http::verb::post, "/", 11);
  request.body().assign(upload_bytes, 'x');
  request.prepare_payload();
  asio::io_context context;
  const auto running = std::make_shared<RunningRequest>(
      context.get_executor(), RequestId("r"), std::nullopt);
  Outcome outcome;
  asio::co_spawn(context, CallServer(running, address, request, outcome),
                 asio::detached);
  context.run();
  if (!outcome.body)
    BOOST_TEST((outcome.verdict == RunVerdict::kMayHaveRun));
  return outcome;
}

std::optional<std::string> AnswerFrom(const std::string& address) {
  const Outcome outcome = CallWithBody(address, 2);
  BOOST_TEST(outcome.sent);
  return outcome.body;
}

// The connection may end before the whole request is sent.
std::optional<std::string> UploadAnswerFrom(const std::string& address) {
  return CallWithBody(address, kUploadBytes).body;
}

std::string HeadInChunks() {
  return std::string("HTTP/1.1 200 OK\r\n") + kFields +
         "Transfer-Encoding: chunked\r\n\r\n";
}

BOOST_AUTO_TEST_SUITE(backend_call)

// Guards against a response whose body is not the one that the server sent: its
// end was in doubt, and the bytes up to the close were taken for its body.
BOOST_AUTO_TEST_CASE(a_response_with_an_ambiguous_end_fails) {
  const std::string body = "an answer";
  for (const FramingExample& framing : AmbiguousFramings(body.size())) {
    BOOST_TEST_CONTEXT(framing.name) {
      RawServer server(framing.version + " 200 OK\r\n" + framing.fields +
                       "\r\n" + body);
      BOOST_TEST(!AnswerFrom(server.address()).has_value());
    }
  }
}

// Guards against an answer with a status that HTTP does not have, as 000, which
// reached a caller as its answer.
BOOST_AUTO_TEST_CASE(a_response_with_an_invalid_status_fails) {
  CheckNoAnswer(ReplyExamples(kFields, kBody).InvalidStatuses(), AnswerFrom);
}

// Guards against a head in which a field's name holds a blank or a control
// byte: the line hid the length of the body.
BOOST_AUTO_TEST_CASE(a_response_with_an_invalid_field_fails) {
  CheckNoAnswer(ReplyExamples(kFields, kBody).InvalidFields(), AnswerFrom);
}

// Guards against a success with an empty or short body when a server closes
// too early.
BOOST_AUTO_TEST_CASE(a_response_that_ends_early_fails) {
  CheckNoAnswer(ReplyExamples(kFields, kBody).TruncatedHeads(), AnswerFrom);
  CheckNoAnswer(ReplyExamples(kFields, kBody).TruncatedBodies(), AnswerFrom);
}

// Guards against a part of a body that is taken for the whole when the
// connection is reset while the request is written.
BOOST_AUTO_TEST_CASE(a_response_that_is_reset_during_the_upload_fails) {
  CheckNoAnswer(
      {{"part", std::string("HTTP/1.1 200 OK\r\n") + kFields + "\r\n" + kBody}},
      UploadAnswerFrom, ConnectionEnd::kReset);
}

// Guards against an early answer that is lost although its server reads on.
BOOST_AUTO_TEST_CASE(a_whole_response_during_the_upload_is_delivered) {
  CheckDelivered(ReplyExamples(kFields, kBody).SoundReplies(), kBody,
                 UploadAnswerFrom);
}

// Guards against an informational response that is taken for the answer, and
// against checks that refuse sound answers.
BOOST_AUTO_TEST_CASE(a_sound_response_is_delivered) {
  CheckDelivered(ReplyExamples(kFields, kBody).SoundReplies(), kBody,
                 AnswerFrom);
}

// Guards against a process that runs out of memory, and ends with the requests
// of all its callers, when a server sends bytes that are no answer.
BOOST_AUTO_TEST_CASE(bytes_without_an_end_are_cut_off) {
  // What the call may read, and what socket buffers take besides.
  constexpr std::size_t kMaxBytes = 16U << 20U;
  const std::string head = std::string("HTTP/1.1 200 OK\r\n") + kFields;
  const std::string extension(1'000, 'x');
  const EndlessReply examples[] = {
      {"status line", "", "xxxxxxxxxx"},
      {"field", head + "X-Odd: ", "xxxxxxxxxx"},
      {"fields", head, "X-Odd: 1\r\n"},
      {"informational responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
      {"body until the close", head + "\r\n", "xxxxxxxxxx"},
      {"body in chunks", HeadInChunks(), "8\r\n12345678\r\n"},
      {"chunk header", HeadInChunks() + "8;x=", "xxxxxxxxxx"},
      {"chunk extensions", HeadInChunks(), "1;" + extension + "\r\n1\r\n"},
      {"trailers", HeadInChunks() + "0\r\n", "X-Odd: 1\r\n"},
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
