#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>

#include "gateway/control/http_channel.h"
#include "platform/platform.h"
#include "support/endless_server.h"
#include "support/reply_checks.h"

namespace bamboomount::entry_test {
namespace {

using support::CheckDelivered;
using support::CheckNoAnswer;
using support::ConnectionEnd;
using support::EndlessReply;
using support::EndlessServer;
using support::RawServer;
using support::ReplyExamples;

constexpr char kBody[] = R"({"rows":[],"schema_version":7})";
constexpr char kFields[] = "Content-Type: application/json\r\n";
// Larger than the buffers of the connection to a RawServer.
constexpr std::size_t kUploadBytes = 16'777'216;
// What the channel may read, and what socket buffers take besides.
constexpr std::size_t kMaxBytes = 24U << 20U;

// The response to a call of the service at `address`, which is the store, the
// interface for orders or another instance.
HttpResponse CallService(const std::string& address, HttpCall call) {
  asio::io_context context;
  HttpChannel channel(context, address);
  HttpResponse result;
  channel.Call(std::move(call), [&](HttpResponse response) {
    result = std::move(response);
    // Ends the wait for timers of the channel.
    context.stop();
  });
  context.run();
  return result;
}

HttpCall Commit(std::size_t body_bytes) {
  HttpCall call;
  call.method = http::verb::post;
  call.target = "/rows-tx";
  call.body.assign(body_bytes, 'x');
  return call;
}

std::optional<std::string> BodyFrom(const std::string& address, HttpCall call) {
  const HttpResponse response = CallService(address, std::move(call));
  BOOST_TEST(response.may_have_run);
  if (!response.answered())
    return std::nullopt;
  return response.body;
}

std::optional<std::string> CommitBody(const std::string& address) {
  return BodyFrom(address, Commit(2));
}

std::optional<std::string> UploadBody(const std::string& address) {
  return BodyFrom(address, Commit(kUploadBytes));
}

BOOST_AUTO_TEST_SUITE(store_reply)

// Guards against a status that HTTP does not have: the store's answer was taken
// for a promise that nothing was done.
BOOST_AUTO_TEST_CASE(a_response_with_an_invalid_status_is_no_answer) {
  CheckNoAnswer(ReplyExamples(kFields, kBody).InvalidStatuses(), CommitBody);
}

// Guards against a body that is not the store's, behind a field whose name
// holds a blank or a control byte.
BOOST_AUTO_TEST_CASE(a_response_with_an_invalid_field_is_no_answer) {
  CheckNoAnswer(ReplyExamples(kFields, kBody).InvalidFields(), CommitBody);
}

// Guards against rows that are missing because the connection closed too early.
BOOST_AUTO_TEST_CASE(a_response_that_ends_early_is_no_answer) {
  CheckNoAnswer(ReplyExamples(kFields, kBody).TruncatedHeads(), CommitBody);
  CheckNoAnswer(ReplyExamples(kFields, kBody).TruncatedBodies(), CommitBody);
}

// Guards against a part of a response that is taken for the whole when the
// connection is reset while the call is written.
BOOST_AUTO_TEST_CASE(a_response_that_is_reset_during_the_call_is_no_answer) {
  CheckNoAnswer({{"part", "HTTP/1.1 200 OK\r\n\r\n{\"rows\":[]}"}}, UploadBody,
                ConnectionEnd::kReset);
}

// Guards against an early answer that is lost although its sender reads on.
BOOST_AUTO_TEST_CASE(a_whole_response_during_the_call_is_delivered) {
  CheckDelivered(ReplyExamples(kFields, kBody).SoundReplies(), kBody,
                 UploadBody);
}

// Guards against an informational response that is taken for the answer, and
// against checks that refuse sound answers.
BOOST_AUTO_TEST_CASE(a_sound_response_is_delivered) {
  CheckDelivered(ReplyExamples(kFields, kBody).SoundReplies(), kBody,
                 CommitBody);
}

// Guards against a call that never ends, and all calls behind it, and against
// memory that fills up, when the service sends bytes that are no answer.
BOOST_AUTO_TEST_CASE(bytes_without_an_end_are_cut_off) {
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string extension(1'000, 'x');
  const EndlessReply examples[] = {
      {"status line", "", "xxxxxxxxxx"},
      {"field", "HTTP/1.1 200 OK\r\nX-Odd: ", "xxxxxxxxxx"},
      {"fields", "HTTP/1.1 200 OK\r\n", "X-Odd: 1\r\n"},
      {"informational responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
      {"body until the close", "HTTP/1.1 200 OK\r\n\r\n", "xxxxxxxxxx"},
      {"body in chunks", chunked, "8\r\n12345678\r\n"},
      {"chunk header", chunked + "8;x=", "xxxxxxxxxx"},
      {"chunk extensions", chunked, "1;" + extension + "\r\n1\r\n"},
      {"trailers", chunked + "0\r\n", "X-Odd: 1\r\n"},
  };
  for (const EndlessReply& example : examples) {
    BOOST_TEST_CONTEXT(example.name) {
      EndlessServer server(example);
      BOOST_TEST(!CommitBody(server.address()).has_value());
      BOOST_TEST(server.bytes_written() < kMaxBytes);
    }
  }
}

// Guards against a commit that counts as not done after a status that does not
// say so, as 204 or 302.
BOOST_AUTO_TEST_CASE(only_refusals_say_that_a_commit_was_not_done) {
  struct Example {
    unsigned status;
    RunVerdict verdict;
  };
  const Example examples[] = {
      {202, RunVerdict::kMayHaveRun}, {204, RunVerdict::kMayHaveRun},
      {302, RunVerdict::kMayHaveRun}, {500, RunVerdict::kMayHaveRun},
      {504, RunVerdict::kMayHaveRun}, {400, RunVerdict::kNotRun},
      {429, RunVerdict::kNotRun},     {503, RunVerdict::kNotRun},
  };
  for (const Example& example : examples) {
    BOOST_TEST_CONTEXT(example.status) {
      RawServer server("HTTP/1.1 " + std::to_string(example.status) +
                       " X\r\n\r\n");
      asio::io_context context;
      HttpTableStore store(context, server.address());
      std::optional<RunVerdict> verdict;
      store.Commit(StoreTransaction(),
                   [&](const Result<CommitResponse>& commit) {
                     BOOST_REQUIRE(!commit.has_value());
                     verdict = commit.error().verdict;
                     context.stop();
                   });
      context.run();
      BOOST_TEST((verdict == example.verdict));
    }
  }
}

// Guards against rows of another part, or of one whose name is no text, that
// are taken for rows of this program.
BOOST_AUTO_TEST_CASE(only_rows_without_a_part_are_read) {
  const std::string body =
      R"({"schema_version":9,"now_ms":1,"rows":[)"
      R"({"key":"a","part":"","value":"","schema_version":1},)"
      R"({"key":"b","value":"","schema_version":2},)"
      R"({"key":"c","part":"draft","value":"","schema_version":3},)"
      R"({"key":"d","part":7,"value":"","schema_version":4},)"
      R"({"key":"e","part":null,"value":"","schema_version":5},)"
      R"({"key":"f","part":[],"value":"","schema_version":6},)"
      R"({"key":"g","part":{},"value":"","schema_version":7}]})";
  RawServer server("HTTP/1.1 200 OK\r\n\r\n" + body);
  asio::io_context context;
  HttpTableStore store(context, server.address());
  std::string keys;
  store.ReadChanges("servers", RowVersion(0), Millis(0),
                    [&](const Result<RowsResponse>& read) {
                      BOOST_REQUIRE(read.has_value());
                      for (const TableRow& row : read.value().rows)
                        keys += row.key;
                      context.stop();
                    });
  context.run();
  BOOST_TEST(keys == "ab");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount::entry_test
