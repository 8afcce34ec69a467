#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>

#include "entry_fixture/entry_fleet.h"
#include "support/reply_checks.h"
#include "support/wait_until.h"

namespace bamboomount::entry_test {
namespace {

using nlohmann::json;
using support::CheckDelivered;
using support::CheckNoAnswer;
using support::ClientRequest;
using support::ClientResponse;
using support::ConnectionEnd;
using support::ReplyExample;
using support::ReplyExamples;
using support::WaitUntil;

constexpr char kBody[] = "booked for the race of 4 March";
constexpr char kFields[] =
    "X-Bamboomount-Request-Id: {id}\r\nX-Bamboomount-Response-Seal: s\r\n";
// Larger than the buffers of the connection to a RawServer.
constexpr std::size_t kUploadBytes = 4'194'304;
// Larger than a body that the instance buffers before it passes it on.
constexpr std::size_t kLargePartBytes = 1'000'000;

// An instance, and one backend server at a time.
class BrokenReplyFleet : public EntryFleet {
 public:
  BrokenReplyFleet() {
    json config = MakeConfig(1, DefaultCustomers());
    config["limits"]["max_body_bytes"] = kUploadBytes;
    store().Put("op", "config", config.dump());
    instance_ = &AddInstance();
  }

  const ReplyExamples& examples() const { return examples_; }
  EntryInstance& instance() { return *instance_; }

  // Whether the instance has read the row of the server.
  bool HasListed(const std::string& id) {
    const auto lines = instance_->LogLines();
    return std::any_of(lines.begin(), lines.end(), [&](const json& line) {
      return line.is_object() && line.value("name", "") == "backend_listed" &&
             line.value("backend", "") == id;
    });
  }

  // What the caller of `request` gets when the server at `address` answers it.
  ClientResponse AnswerOf(const std::string& address,
                          const ClientRequest& request) {
    if (address != registered_) {
      if (!registered_.empty())
        store().Remove("servers", registered_);
      store().Put("servers", address, BackendRow(address).dump());
      registered_ = address;
    }
    ClientResponse response;
    // Refused until the instance has read the row.
    WaitUntil([&] {
      response = Call(*instance_, request);
      return response.status != 503;
    });
    return response;
  }

  // The body of the success that the caller of `request` gets; empty if it gets
  // a failure or an answer that is not complete.
  std::optional<std::string> BodyFrom(const std::string& address,
                                      const ClientRequest& request) {
    const ClientResponse response = AnswerOf(address, request);
    // A server ran the request, so the refusal must not say that none did.
    BOOST_TEST((response.status / 100 == 2 || response.status == 502));
    if (response.status != 502)
      BOOST_TEST(response.header("X-Bamboomount-Response-Seal") == "s");
    if (response.status / 100 != 2 || !response.complete)
      return std::nullopt;
    return response.body;
  }

  support::ReplyReader Booking() {
    return [this](const std::string& address) {
      return BodyFrom(address, MakeRequest("POST", "/book/x"));
    };
  }
  support::ReplyReader UploadTo(const std::string& target) {
    return [this, target](const std::string& address) {
      ClientRequest request = MakeRequest("POST", target);
      request.body.assign(kUploadBytes, 'x');
      return BodyFrom(address, request);
    };
  }

 private:
  const ReplyExamples examples_{kFields, kBody};
  EntryInstance* instance_ = nullptr;
  // The address and id of the server that has a row; empty if none has.
  std::string registered_;
};

std::string HeadUntilClose(const std::string& type) {
  return "HTTP/1.1 200 OK\r\nContent-Type: " + type + "\r\n" + kFields + "\r\n";
}

BOOST_FIXTURE_TEST_SUITE(broken_reply, BrokenReplyFleet)

// Guards against an answer with a status that HTTP does not have, as 000, which
// reached a caller as its answer.
BOOST_AUTO_TEST_CASE(a_reply_with_an_invalid_status_is_no_answer) {
  CheckNoAnswer(examples().InvalidStatuses(), Booking());
}

// Guards against a head in which a field's name holds a blank or a control
// byte: the line was passed on, or hid the length of the body.
BOOST_AUTO_TEST_CASE(a_reply_with_an_invalid_field_is_no_answer) {
  CheckNoAnswer(examples().InvalidFields(), Booking());
}

// Guards against a success with an empty or short body when a server closes in
// the middle of its head.
BOOST_AUTO_TEST_CASE(a_reply_that_ends_in_its_head_is_no_answer) {
  CheckNoAnswer(examples().TruncatedHeads(), Booking());
}

// Guards against a part of a body that is framed as a whole one.
BOOST_AUTO_TEST_CASE(a_reply_that_ends_in_its_body_is_no_answer) {
  CheckNoAnswer(examples().TruncatedBodies(), Booking());
}

// Guards against checks that refuse sound answers.
BOOST_AUTO_TEST_CASE(a_sound_reply_is_delivered) {
  CheckDelivered(examples().SoundReplies(), kBody, Booking());
}

// Guards against a part of a body that is passed on as a whole one: the server
// resets the connection while the request is written, the write takes the error
// from the socket, and the read that follows sees an orderly end.
BOOST_AUTO_TEST_CASE(a_reply_that_is_reset_during_the_upload_is_no_answer) {
  const std::string event = "id: 1\ndata: piece 1\n\n";
  const std::vector<ReplyExample> plain = {
      {"empty part", HeadUntilClose("text/plain")},
      {"short part", HeadUntilClose("text/plain") + kBody},
      {"long part",
       HeadUntilClose("text/plain") + std::string(kLargePartBytes, 'x')},
      {"after a 100",
       "HTTP/1.1 100 Continue\r\n\r\n" + HeadUntilClose("text/plain") + kBody},
  };
  const std::vector<ReplyExample> streams = {
      {"event", HeadUntilClose("text/event-stream") + event},
      {"no event", HeadUntilClose("text/event-stream")},
  };
  CheckNoAnswer(plain, UploadTo("/book/x"), ConnectionEnd::kReset);
  CheckNoAnswer(plain, UploadTo("/lookup/x"), ConnectionEnd::kReset);
  CheckNoAnswer(streams, UploadTo("/talk/stream"), ConnectionEnd::kReset);
  CheckNoAnswer(streams, UploadTo("/resume/stream"), ConnectionEnd::kReset);
}

// Guards against a part of a continuation that is passed on as the whole rest
// of a stream, when its server resets the connection during the upload.
BOOST_AUTO_TEST_CASE(a_continuation_that_is_reset_is_not_the_rest_of_a_stream) {
  BackendStandin& first = AddBackend("e-1");
  first.SetMode(BackendMode::kHold);
  instance().WaitUntilReady();
  ClientRequest request = MakeRequest("POST", "/resume/stream");
  request.body.assign(kUploadBytes, 'x');
  support::HttpClient caller(instance().caller_address());
  caller.Send(request);
  BOOST_REQUIRE(
      WaitUntil([&] { return first.ExecutedRequests().size() == 1U; }));
  support::RawServer second(
      HeadUntilClose("text/event-stream") + "id: 3\ndata: piece 3\n\n",
      ConnectionEnd::kReset);
  store().Put("servers", "e-2", BackendRow(second.address()).dump());
  BOOST_REQUIRE(WaitUntil([&] { return HasListed("e-2"); }));
  // The first server breaks off in its third event; only the second is left.
  first.SetMode(BackendMode::kCutInEvent);
  const ClientResponse response = caller.ReadResponse();
  BOOST_TEST(second.request_count() == 1);
  BOOST_TEST(response.body.find("piece 2") != std::string::npos);
  BOOST_TEST(!response.complete);
}

// Guards against an early answer that is lost because its server does not read
// the rest of the request.
BOOST_AUTO_TEST_CASE(a_whole_reply_during_the_upload_is_delivered) {
  const std::vector<ReplyExample> until_close = {
      {"until the close", HeadUntilClose("text/plain") + kBody}};
  const std::vector<ReplyExample> with_length = {
      {"with a length",
       "HTTP/1.1 200 OK\r\n" + std::string(kFields) + "Content-Length: " +
           std::to_string(std::string(kBody).size()) + "\r\n\r\n" + kBody}};
  for (const ConnectionEnd end :
       {ConnectionEnd::kOrderly, ConnectionEnd::kOrderlyThenReset}) {
    CheckDelivered(until_close, kBody, UploadTo("/book/x"), end);
    CheckDelivered(with_length, kBody, UploadTo("/book/x"), end);
  }
  CheckDelivered(with_length, kBody, UploadTo("/book/x"),
                 ConnectionEnd::kReset);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount::entry_test
