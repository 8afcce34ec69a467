#include <atomic>
#include <boost/test/unit_test.hpp>
#include <future>
#include <regex>

#include "support/answer.h"
#include "support/chat_client.h"
#include "support/wait_until.h"
#include "system/admin_helpers.h"
#include "system/fleet_options.h"

namespace bamboomount::support {
namespace {

constexpr int kTokens = 12;

ChatParameters MakeQuestion(const Fleet& fleet, const std::string& prompt) {
  ChatParameters question;
  question.key = fleet.key();
  question.prompt = prompt;
  question.max_tokens = kTokens;
  return question;
}

std::vector<ChatReply> AskConcurrently(Fleet& fleet, int count) {
  std::vector<std::future<ChatReply>> running;
  running.reserve(count);
  for (int i = 0; i < count; ++i) {
    running.push_back(std::async(std::launch::async, [&fleet, i] {
      return SendChatRequest(
          fleet.instance(0).address,
          MakeQuestion(fleet, "prompt " + std::to_string(i)));
    }));
  }
  std::vector<ChatReply> replies;
  replies.reserve(running.size());
  for (auto& reply : running)
    replies.push_back(reply.get());
  return replies;
}

void CheckComplete(const ChatReply& reply, const std::string& prompt) {
  BOOST_TEST(reply.status == 200);
  BOOST_TEST(reply.content == standin::ExpectedAnswer(prompt, kTokens));
  BOOST_TEST(reply.finish_reason == "length");
  BOOST_TEST(reply.done);
  BOOST_TEST(reply.complete);
  BOOST_TEST(reply.error == "");
}

// Checks that the received text is the beginning of the expected response and
// that the caller can tell that it is incomplete.
void CheckReportedAsInterrupted(const ChatReply& reply,
                                const std::string& prompt) {
  const std::string expected = standin::ExpectedAnswer(prompt, kTokens);
  BOOST_TEST(expected.compare(0, reply.content.size(), reply.content) == 0);
  BOOST_TEST(!reply.done);
  BOOST_TEST(reply.finish_reason == "");
  BOOST_TEST(reply.ran() == "unknown");
  if (reply.status == 200) {
    BOOST_TEST(reply.error_code() == "stream_interrupted");
    BOOST_TEST(!reply.complete);
  } else {
    BOOST_TEST(reply.status >= 500);
    BOOST_TEST(reply.content == "");
  }
}

int CountChatRequests(BackendProcess& engine) {
  int count = 0;
  for (const auto& request : engine.ReceivedRequests())
    count += request.at("target") == "/v1/chat/completions" ? 1 : 0;
  return count;
}

// Breaks the streams of the first of two engines, and checks that each ends
// with an error instead of text of the second one.
void CheckNoStreamResumes(const FleetOptions& options) {
  Fleet fleet(options);
  fleet.engine(0).SetFaults(R"({"close_after_tokens":3})");
  const auto replies = AskConcurrently(fleet, 6);
  int interrupted = 0;
  for (std::size_t i = 0; i < replies.size(); ++i) {
    const std::string prompt = "prompt " + std::to_string(i);
    if (replies[i].done) {
      CheckComplete(replies[i], prompt);
      continue;
    }
    ++interrupted;
    CheckReportedAsInterrupted(replies[i], prompt);
  }
  BOOST_TEST(interrupted > 0);
  BOOST_TEST(interrupted == CountChatRequests(fleet.engine(0)));
}

// Faults that break a stream after a number of tokens.
constexpr const char* kMidStreamFaults[] = {
    R"({"crash_after_tokens":3})",    R"({"close_after_tokens":3})",
    R"({"truncate_after_tokens":3})", R"({"crash_after_tokens":0})",
    R"({"truncate_after_tokens":0})",
};

}  // namespace

BOOST_AUTO_TEST_SUITE(complete_responses)

// Guards against truncated or duplicated text when an engine fails during a
// stream: another engine must resume it after the last token that the caller
// has.
BOOST_AUTO_TEST_CASE(a_broken_stream_resumes_at_another_engine) {
  for (const char* fault : kMidStreamFaults) {
    Fleet fleet(TestFleetOptions(2, 1, 1));
    BOOST_TEST_CONTEXT(fault) {
      fleet.engine(0).SetFaults(fault);
      const auto replies = AskConcurrently(fleet, 6);
      for (std::size_t i = 0; i < replies.size(); ++i)
        CheckComplete(replies[i], "prompt " + std::to_string(i));
      BOOST_TEST(CountChatRequests(fleet.engine(0)) > 0);
    }
  }
}

// Guards against a stream that holds text of two software versions, which does
// not fit together: with engines of the versions that began and that did not
// begin it, and with engines that do not check the expected version.
BOOST_AUTO_TEST_CASE(a_broken_stream_does_not_resume_at_another_version) {
  for (const bool checked : {true, false}) {
    FleetOptions options = TestFleetOptions(2, 1, 1);
    options.engine_versions = {"v1", "v2"};
    if (!checked)
      options.engine_arguments.emplace_back("--ignore-expected-version");
    CheckNoStreamResumes(options);
  }
}

// Guards against the same if the engines state no version, so that nobody knows
// whether a second one has the version of the first.
BOOST_AUTO_TEST_CASE(a_broken_stream_of_an_unknown_version_does_not_resume) {
  FleetOptions options = TestFleetOptions(2, 1, 1);
  options.engine_versions = {"", ""};
  CheckNoStreamResumes(options);
  options.engine_versions = {"", "v2"};
  CheckNoStreamResumes(options);
}

// Guards against streams that are given up although an engine of their version
// serves, and against engines that get no more work because they refused to
// resume a stream of another version.
BOOST_AUTO_TEST_CASE(a_broken_stream_finds_its_version_among_others) {
  FleetOptions options = TestFleetOptions(3, 1, 1);
  options.engine_versions = {"v1", "v2", "v1"};
  Fleet fleet(options);
  fleet.engine(0).SetFaults(R"({"close_after_tokens":3})");
  const auto replies = AskConcurrently(fleet, 6);
  for (std::size_t i = 0; i < replies.size(); ++i)
    CheckComplete(replies[i], "prompt " + std::to_string(i));
  BOOST_TEST(CountChatRequests(fleet.engine(0)) > 0);
  const int before = CountChatRequests(fleet.engine(1));
  AskConcurrently(fleet, 6);
  BOOST_TEST(CountChatRequests(fleet.engine(1)) > before);
}

// Guards against truncated text that a caller takes for complete: a stream that
// no engine can resume must end with an error event.
BOOST_AUTO_TEST_CASE(a_stream_that_cannot_resume_ends_with_an_error) {
  for (const char* fault : kMidStreamFaults) {
    // The engine is ejected for a time after a failure, so each fault gets a
    // new fleet.
    Fleet fleet(TestFleetOptions(1, 1, 1));
    BOOST_TEST_CONTEXT(fault) {
      fleet.engine(0).SetFaults(fault);
      CheckReportedAsInterrupted(SendChatRequest(fleet.instance(0).address,
                                                 MakeQuestion(fleet, "prompt")),
                                 "prompt");
      fleet.engine(0).SetFaults("{}");
      CheckComplete(SendChatRequest(fleet.instance(0).address,
                                    MakeQuestion(fleet, "prompt")),
                    "prompt");
    }
  }
}

// Guards against a truncated response without streaming that reaches the caller
// as if it were complete.
BOOST_AUTO_TEST_CASE(a_truncated_buffered_response_is_an_error) {
  for (const char* fault :
       {R"({"crash_after_tokens":0})", R"({"close_after_tokens":0})",
        R"({"lose_answer":true})"}) {
    Fleet fleet(TestFleetOptions(1, 1, 1));
    BOOST_TEST_CONTEXT(fault) {
      fleet.engine(0).SetFaults(fault);
      ChatParameters question = MakeQuestion(fleet, "prompt");
      question.stream = false;
      const ChatReply reply =
          SendChatRequest(fleet.instance(0).address, question);
      BOOST_TEST(reply.status >= 500);
      BOOST_TEST(reply.ran() == "unknown");
      BOOST_TEST(reply.content == "");
    }
  }
}

// Guards against forwarding a response that belongs to the request of another
// caller and carries its request id.
BOOST_AUTO_TEST_CASE(a_mismatched_response_is_not_forwarded) {
  Fleet fleet(TestFleetOptions(1, 1, 1));
  CheckComplete(SendChatRequest(fleet.instance(0).address,
                                MakeQuestion(fleet, "secret of A")),
                "secret of A");
  fleet.engine(0).SetFaults(R"({"cross_answers":true})");
  for (const bool stream : {true, false}) {
    ChatParameters question = MakeQuestion(fleet, "question of B");
    question.stream = stream;
    const ChatReply reply =
        SendChatRequest(fleet.instance(0).address, question);
    CheckReportedAsInterrupted(reply, "question of B");
    fleet.engine(0).SetFaults("{}");
    CheckComplete(SendChatRequest(fleet.instance(0).address,
                                  MakeQuestion(fleet, "secret of A")),
                  "secret of A");
    fleet.engine(0).SetFaults(R"({"cross_answers":true})");
  }
  fleet.service(0).SetFaults(R"({"cross_answers":true})");
  const HeaderList key = {{"Authorization", "Bearer " + fleet.key()}};
  const ClientRequest first{"POST", Fleet::kKeyedLookup, key, "first body"};
  const ClientRequest second{"POST", Fleet::kKeyedLookup, key, "second body"};
  BOOST_TEST(CallOnce(fleet.instance(0).address, first).status == 200);
  const ClientResponse crossed = CallOnce(fleet.instance(0).address, second);
  BOOST_TEST(crossed.status >= 500);
  BOOST_TEST(crossed.body.find("first body") == std::string::npos);
}

// Guards against a duplicated response of an engine whose second copy becomes
// the reply to the next request on the caller's connection.
BOOST_AUTO_TEST_CASE(a_duplicated_response_reaches_its_caller_once) {
  Fleet fleet(TestFleetOptions(1, 1, 1));
  fleet.engine(0).SetFaults(R"({"answer_twice":true})");
  HttpClient caller(fleet.instance(0).address);
  for (int i = 0; i < 4; ++i) {
    const std::string prompt = "prompt " + std::to_string(i);
    ChatParameters question = MakeQuestion(fleet, prompt);
    question.stream = i % 2 == 0;
    caller.Send(ToRequest(question));
    const ClientResponse answer = caller.ReadResponse();
    BOOST_TEST(answer.complete);
    const std::string first = standin::AnswerToken(prompt, 0);
    const std::size_t at = answer.body.find(first);
    BOOST_TEST(at != std::string::npos);
    BOOST_TEST(answer.body.find(first, at + 1) == std::string::npos);
  }
}

// Guards against a delayed response that is dropped or delivered to another
// caller.
BOOST_AUTO_TEST_CASE(delayed_responses_reach_their_own_callers) {
  Fleet fleet(TestFleetOptions(2, 1, 1));
  fleet.engine(0).SetFaults(R"({"late_ms":300})");
  const auto replies = AskConcurrently(fleet, 8);
  for (std::size_t i = 0; i < replies.size(); ++i)
    CheckComplete(replies[i], "prompt " + std::to_string(i));
}

// Guards against lost streams when an engine process crashes, which breaks all
// its streams at once.
BOOST_AUTO_TEST_CASE(streams_survive_the_crash_of_an_engine_process) {
  Fleet fleet(TestFleetOptions(2, 1, 1));
  fleet.engine(0).SetFaults(R"({"crash_after_tokens":5,"crash_process":true})");
  const auto replies = AskConcurrently(fleet, 8);
  for (std::size_t i = 0; i < replies.size(); ++i)
    CheckComplete(replies[i], "prompt " + std::to_string(i));
  BOOST_TEST(!fleet.engine(0).process().running());
}

// Guards against streams that hang forever when an engine freezes during its
// responses.
BOOST_AUTO_TEST_CASE(a_stream_of_a_frozen_engine_resumes_at_another) {
  constexpr int kStreams = 4;
  FleetOptions options = TestFleetOptions(2, 1, 1);
  options.engine_arguments = {"--pace", "20"};
  Fleet fleet(options);
  std::atomic<int> started = 0;
  std::vector<std::future<ChatReply>> streams;
  streams.reserve(kStreams);
  for (int i = 0; i < kStreams; ++i) {
    streams.push_back(std::async(std::launch::async, [&, i] {
      return SendChatRequest(
          fleet.instance(0).address,
          MakeQuestion(fleet, "prompt " + std::to_string(i)),
          [&started](int tokens) { started += tokens == 1 ? 1 : 0; });
    }));
  }
  BOOST_TEST(WaitUntil([&] { return started == kStreams; }));
  fleet.engine(0).process().Stop();
  for (int i = 0; i < kStreams; ++i)
    CheckComplete(streams[i].get(), "prompt " + std::to_string(i));
  fleet.engine(0).process().Continue();
  BOOST_TEST(CountChatRequests(fleet.engine(0)) > 0);
}

// Guards against callers that wait for the longest first-byte timeout of all
// classes when an engine freezes before its first token.
BOOST_AUTO_TEST_CASE(a_request_to_a_frozen_engine_moves_to_another) {
  constexpr int kStreams = 4;
  Fleet fleet(TestFleetOptions(2, 1, 1));
  // The fleet's default first-token target of 20 s would lead to the longest
  // timeout.
  const std::string text = std::regex_replace(
      fleet.ConfigText(100), std::regex("\"first_token_ms\":20000"),
      "\"first_token_ms\":1000");
  const auto applied = MakeAdminClient(fleet.instance(0))
                           .ApplyConfig({"test", ConfigVersion(1), text});
  BOOST_REQUIRE(applied.has_value());
  fleet.engine(0).process().Stop();
  std::vector<std::future<ChatReply>> streams;
  streams.reserve(kStreams);
  for (int i = 0; i < kStreams; ++i) {
    streams.push_back(std::async(std::launch::async, [&, i] {
      return SendChatRequest(
          fleet.instance(0).address,
          MakeQuestion(fleet, "prompt " + std::to_string(i)));
    }));
  }
  for (int i = 0; i < kStreams; ++i)
    CheckComplete(streams[i].get(), "prompt " + std::to_string(i));
  fleet.engine(0).process().Continue();
  BOOST_TEST(WaitUntil([&] { return CountChatRequests(fleet.engine(0)) > 0; }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bamboomount::support
