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

// Whatever arrived belongs to the prompt, and nobody can take it for whole.
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

// Ways in which an engine fails after some tokens.
constexpr const char* kMidStreamFaults[] = {
    R"({"crash_after_tokens":3})",    R"({"close_after_tokens":3})",
    R"({"truncate_after_tokens":3})", R"({"crash_after_tokens":0})",
    R"({"truncate_after_tokens":0})",
};

}  // namespace

BOOST_AUTO_TEST_SUITE(complete_responses)

// A caller would get half of an answer, or tokens twice, when an engine fails
// in the middle and another one could go on.
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

// A caller would take a truncated text for the whole one.
BOOST_AUTO_TEST_CASE(a_stream_that_cannot_resume_ends_with_an_error) {
  for (const char* fault : kMidStreamFaults) {
    // The engine is out of use for a while after a failure.
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

// A whole answer that was cut must not reach the caller as if it were whole.
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

// A caller would read the answer to somebody else's question.
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

// The second copy of an answer would become the answer to the next request on
// the same connection.
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

// An answer that comes late must reach its own caller, not be dropped or given
// to the next one.
BOOST_AUTO_TEST_CASE(delayed_responses_reach_their_own_callers) {
  Fleet fleet(TestFleetOptions(2, 1, 1));
  fleet.engine(0).SetFaults(R"({"late_ms":300})");
  const auto replies = AskConcurrently(fleet, 8);
  for (std::size_t i = 0; i < replies.size(); ++i)
    CheckComplete(replies[i], "prompt " + std::to_string(i));
}

// A process crash cuts all streams of an engine at once; none may be lost.
BOOST_AUTO_TEST_CASE(streams_survive_the_crash_of_an_engine_process) {
  Fleet fleet(TestFleetOptions(2, 1, 1));
  fleet.engine(0).SetFaults(R"({"crash_after_tokens":5,"crash_process":true})");
  const auto replies = AskConcurrently(fleet, 8);
  for (std::size_t i = 0; i < replies.size(); ++i)
    CheckComplete(replies[i], "prompt " + std::to_string(i));
  BOOST_TEST(!fleet.engine(0).process().running());
}

// An engine that stops in the middle of its answers would hold their callers
// for ever.
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

// An engine that freezes before its first token would hold its callers for the
// longest first-byte timeout of all classes.
BOOST_AUTO_TEST_CASE(a_request_to_a_frozen_engine_moves_to_another) {
  constexpr int kStreams = 4;
  Fleet fleet(TestFleetOptions(2, 1, 1));
  // The fleet's own target of 20 s would allow the longest timeout.
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
