#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "entry_fixture/entry_fleet.h"
#include "support/reply_examples.h"

namespace bamboomount::entry_test {
namespace {

using support::HttpClient;
using support::ReplyExample;
using support::ReplyExamples;

constexpr char kContinuationFields[] =
    "X-Bamboomount-Request-Id: {id}\r\nX-Bamboomount-Response-Seal: s\r\n"
    "Content-Type: text/event-stream\r\n";
// Settings with which each stream may be continued.
const nlohmann::json kUnlimitedRetries = {{"retry_slack", 1000}};
constexpr char kRestOfStream[] =
    "id: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\n";

struct Example {
  std::string name;
  // Status line, fields and body of the second server's answer, without the
  // id of the request.
  std::string status;
  std::string fields;
  std::string body;
};

const std::string kSeal = "X-Bamboomount-Response-Seal: s\r\n";
const std::string kNotExecuted = "X-Bamboomount-Not-Executed: 1\r\n";
const std::string kEvents = "Content-Type: text/event-stream\r\n";
const std::string kJson = "Content-Type: application/json\r\n";
// An error that looks like an event.
const std::string kErrorEvent = "id: 3\ndata: error\n\n";

std::vector<Example> Examples() {
  return {
      {"error", "500 Error", kSeal, "an error\n\n"},
      {"error as an event", "500 Error", kSeal + kEvents, kErrorEvent},
      {"refusal", "503 Busy", kNotExecuted, kErrorEvent},
      {"plain 503", "503 Busy", kSeal + kEvents, kErrorEvent},
      {"other server", "421 Other", kNotExecuted, kErrorEvent},
      {"unknown event id", "404 Not Found", kSeal, kErrorEvent},
      {"redirection", "302 Found", kSeal + "Location: /x\r\n", kErrorEvent},
      {"success without the seal", "200 OK", kEvents, kErrorEvent},
      {"success that is no stream", "200 OK", kSeal + kJson,
       "{\"error\":\"busy\"}\n\n"},
      {"success without a type", "200 OK", kSeal, kErrorEvent},
      {"no content", "204 No Content", kSeal, ""},
      {"accepted", "202 Accepted", kSeal + kJson, ""},
  };
}

std::string ReplyOf(const Example& example) {
  std::string reply = "HTTP/1.1 " + example.status +
                      "\r\nX-Bamboomount-Request-Id: {id}\r\n" + example.fields;
  if (!example.status.starts_with("204"))
    reply += "Content-Length: " + std::to_string(example.body.size()) + "\r\n";
  return reply + "\r\n" + example.body;
}

// What a caller gets of a stream that breaks after its second event.
struct StreamOutcome {
  std::vector<std::string> events;
  bool clean = false;
};

StreamOutcome ReadStream(const EntryInstance& instance) {
  StreamOutcome outcome;
  HttpClient client(instance.caller_address());
  client.Send(MakeRequest("POST", "/resume/stream"));
  if (client.ReadHead().status != 200)
    return outcome;
  while (const auto event = client.ReadEvent())
    outcome.events.push_back(*event);
  outcome.clean = client.ended_cleanly();
  return outcome;
}

BOOST_FIXTURE_TEST_SUITE(stream_continuation, EntryFleet)

// Guards against an error in the middle of a stream: a stream broke off, the
// next server answered with an error, and the caller got its text as an event,
// or a stream that looked complete.
BOOST_AUTO_TEST_CASE(an_error_of_the_next_server_is_no_part_of_the_stream) {
  Configure(1, DefaultCustomers());
  BackendStandin& one = AddBackend("e-1");
  BackendStandin& two = AddBackend("e-2");
  EntryInstance& instance = AddInstance();
  instance.WaitUntilReady();
  for (const Example& example : Examples()) {
    BOOST_TEST_CONTEXT(example.name) {
      one.SetScript({ReplyOf(example)});
      two.SetScript({ReplyOf(example)});
      const int arrivals = one.ArrivalCount() + two.ArrivalCount();
      const StreamOutcome outcome = ReadStream(instance);
      BOOST_TEST(one.ArrivalCount() + two.ArrivalCount() == arrivals + 2);
      BOOST_TEST(outcome.events.size() == 2U);
      BOOST_TEST(!outcome.clean);
    }
  }
}

// Answers in place of the rest of a stream.
std::vector<ReplyExample> BrokenContinuations() {
  const ReplyExamples examples(kContinuationFields, kRestOfStream);
  std::vector<ReplyExample> all = examples.TruncatedHeads();
  for (const auto& more :
       {examples.InvalidStatuses(), examples.InvalidFields()})
    all.insert(all.end(), more.begin(), more.end());
  // The events before a broken trailer are sound.
  std::erase_if(all, [](const ReplyExample& example) {
    return example.name.ends_with("trailer");
  });
  return all;
}

// Guards against an answer with a broken head, or one that ends in its head,
// that is taken for the rest of a stream.
BOOST_AUTO_TEST_CASE(a_broken_head_of_the_next_server_is_no_continuation) {
  Configure(1, DefaultCustomers());
  BackendStandin& one = AddBackend("e-1");
  BackendStandin& two = AddBackend("e-2");
  EntryInstance& instance = AddInstance("i-1", kUnlimitedRetries);
  instance.WaitUntilReady();
  for (const ReplyExample& example : BrokenContinuations()) {
    BOOST_TEST_CONTEXT(example.name) {
      one.SetScript({example.bytes, true});
      two.SetScript({example.bytes, true});
      const int arrivals = one.ArrivalCount() + two.ArrivalCount();
      const StreamOutcome outcome = ReadStream(instance);
      BOOST_TEST(one.ArrivalCount() + two.ArrivalCount() == arrivals + 2);
      BOOST_TEST(outcome.events.size() == 2U);
      BOOST_TEST(!outcome.clean);
    }
  }
}

// Guards against checks that refuse a sound continuation.
BOOST_AUTO_TEST_CASE(a_sound_continuation_completes_the_stream) {
  Configure(1, DefaultCustomers());
  BackendStandin& one = AddBackend("e-1");
  BackendStandin& two = AddBackend("e-2");
  EntryInstance& instance = AddInstance("i-1", kUnlimitedRetries);
  instance.WaitUntilReady();
  for (const ReplyExample& example :
       ReplyExamples(kContinuationFields, kRestOfStream).SoundReplies()) {
    BOOST_TEST_CONTEXT(example.name) {
      one.SetScript({example.bytes, true});
      two.SetScript({example.bytes, true});
      const StreamOutcome outcome = ReadStream(instance);
      BOOST_TEST(outcome.events.size() == 4U);
      BOOST_TEST(outcome.clean);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount::entry_test
