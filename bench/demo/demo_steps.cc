#include "demo_steps.h"

#include <atomic>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <future>
#include <nlohmann/json.hpp>

#include "operator_command.h"
#include "support/answer.h"
#include "support/chat_client.h"
#include "support/wait_until.h"

namespace bamboomount {
namespace {

using support::ChatQuestion;
using support::ChatReply;
using support::ClientAnswer;
using support::ClientRequest;
using support::Fleet;
using support::FleetInstance;

constexpr int kShortAnswer = 20;
// Long enough that it still runs when a key is withdrawn.
constexpr int kLongAnswer = 2000;
// At the demonstration's pace of 50 tokens a second this outlives the 5 s in
// which a leaving instance still accepts.
constexpr int kStopAnswer = 350;
constexpr int kStopStreams = 8;
constexpr int kExitStaleBase = 4;

std::int64_t MonotonicMicros() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

std::vector<std::string> WithServer(const FleetInstance& instance,
                                    std::vector<std::string> words) {
  words.insert(words.end(),
               {"--server", instance.admin_address, "--author", "demo"});
  return words;
}

ChatQuestion Question(const std::string& key,
                      const std::string& prompt,
                      int tokens) {
  ChatQuestion question;
  question.key = key;
  question.prompt = prompt;
  question.max_tokens = tokens;
  return question;
}

StepResult CheckExamples(DemoContext& context) {
  StepResult result{true, ""};
  for (const auto& entry :
       std::filesystem::directory_iterator(context.examples)) {
    const std::string file = entry.path() / "service.jsonc";
    if (!std::filesystem::exists(file))
      continue;
    const CommandResult check =
        RunOperatorCommand(context.programs, {"config", "check", file});
    result.ok = result.ok && check.exit_code == 0;
    result.seen += entry.path().filename().string() + " exit " +
                   std::to_string(check.exit_code) + "; ";
  }
  result.ok = result.ok && !result.seen.empty();
  return result;
}

// The engine stamps each token; the first one must be here before the last one
// is made.
StepResult StreamChat(DemoContext& context) {
  const std::string prompt = "What does a team of eight eat before a race?";
  support::HttpClient caller(context.fleet.instance(0).address);
  caller.Send(
      support::ToRequest(Question(context.fleet.key(), prompt, kShortAnswer)));
  const int status = caller.ReadHead().status;
  std::int64_t first_received = 0;
  std::int64_t last_made = 0;
  std::string content;
  while (const auto event = caller.ReadEvent()) {
    const auto chunk = nlohmann::json::parse(
        event->substr(event->find(' ') + 1), nullptr, false);
    if (!chunk.is_object() || !chunk.contains("sent_us"))
      continue;
    if (content.empty())
      first_received = MonotonicMicros();
    content += chunk["choices"][0]["delta"].value("content", "");
    last_made = chunk["sent_us"].get<std::int64_t>();
  }
  const bool whole = content == standin::ExpectedAnswer(prompt, kShortAnswer) &&
                     caller.ended_cleanly();
  return {status == 200 && whole && first_received < last_made,
          "status " + std::to_string(status) + ", whole " +
              (whole ? "yes" : "no") + ", first token here " +
              std::to_string((last_made - first_received) / 1000) +
              " ms before the last was made"};
}

StepResult LookUp(DemoContext& context) {
  const ClientAnswer answer = support::CallOnce(
      context.fleet.instance(1).address,
      {"GET", std::string(Fleet::kOpenLookup) + "?number=7", {}, ""});
  return {answer.status == 200 && answer.complete,
          "status " + std::to_string(answer.status)};
}

StepResult RegisterTwice(DemoContext& context) {
  Fleet& fleet = context.fleet;
  const ClientRequest call{"POST",
                           Fleet::kRegistration,
                           {{"Authorization", "Bearer " + fleet.key()},
                            {"Idempotency-Key", "demo-registration"}},
                           R"({"team":"demo"})"};
  const ClientAnswer first = support::CallOnce(fleet.instance(0).address, call);
  const ClientAnswer again = support::CallOnce(fleet.instance(1).address, call);
  int runs = 0;
  for (const auto& execution : fleet.Executed())
    runs += execution.at("body") == call.body ? 1 : 0;
  const bool replayed = again.header("Idempotency-Replayed") == "true";
  return {first.status == 200 && again.status == 200 && replayed &&
              first.body == again.body && runs == 1,
          "status " + std::to_string(first.status) + " and " +
              std::to_string(again.status) + ", runs " + std::to_string(runs)};
}

// Instances learn each other's admin addresses from the platform's list, which
// lags. Before that, commands cannot ask all instances.
void WaitUntilListed(DemoContext& context) {
  support::WaitUntil([&] {
    const CommandResult status = RunOperatorCommand(
        context.programs, WithServer(context.fleet.instance(0), {"status"}));
    bool listed = true;
    for (std::size_t i = 0; i < context.fleet.instance_count(); ++i) {
      const std::string& address = context.fleet.instance(i).admin_address;
      listed = listed && status.output.find(address) != std::string::npos;
    }
    return listed;
  });
}

StepResult GrantAndWithdraw(DemoContext& context) {
  Fleet& fleet = context.fleet;
  WaitUntilListed(context);
  const CommandResult grant = RunOperatorCommand(
      context.programs, WithServer(fleet.instance(0), {"key", "grant", "demo",
                                                       "--customer", "mill"}));
  const std::string key = grant.Member("secret");
  if (grant.exit_code != 0 || key.empty())
    return {false, "key grant: exit " + std::to_string(grant.exit_code) + " " +
                       grant.output};
  fleet.WaitUntilServing(fleet.instance(1), key);
  std::atomic<int> tokens = 0;
  auto stream = std::async(std::launch::async, [&] {
    return support::Ask(fleet.instance(1).address,
                        Question(key, "long", kLongAnswer),
                        [&tokens](int count) { tokens = count; });
  });
  support::WaitUntil([&] { return tokens > 0; });
  const CommandResult withdraw = RunOperatorCommand(
      context.programs,
      WithServer(fleet.instance(0), {"key", "withdraw", "demo"}));
  const ChatReply cut = stream.get();
  int refusals = 0;
  for (std::size_t i = 0; i < fleet.instance_count(); ++i) {
    const ChatReply refused =
        support::Ask(fleet.instance(i).address, Question(key, "again", 1));
    refusals += refused.error_code() == "withdrawn_key" ? 1 : 0;
  }
  return {withdraw.exit_code == 0 && cut.tokens > 0 && !cut.done &&
              cut.error_code() == "withdrawn_key" &&
              refusals == static_cast<int>(fleet.instance_count()),
          "withdraw exit " + std::to_string(withdraw.exit_code) +
              ", the stream ended after " + std::to_string(cut.tokens) +
              " tokens with " + cut.error_code() + ", refused by " +
              std::to_string(refusals) + " instances" +
              (withdraw.exit_code == 0 ? "" : ": " + withdraw.output)};
}

StepResult ApplyConfig(DemoContext& context) {
  Fleet& fleet = context.fleet;
  const std::string file = fleet.instance(0).settings_path + ".service";
  std::ofstream(file) << fleet.ConfigText(50);
  const CommandResult before = RunOperatorCommand(
      context.programs, WithServer(fleet.instance(0), {"config", "show"}));
  const std::string base = before.Member("version");
  const std::vector<std::string> apply = {"config", "apply", file, "--base",
                                          base};
  const CommandResult applied = RunOperatorCommand(
      context.programs, WithServer(fleet.instance(0), apply));
  const CommandResult late = RunOperatorCommand(
      context.programs, WithServer(fleet.instance(1), apply));
  std::string versions;
  bool in_force = true;
  for (std::size_t i = 0; i < fleet.instance_count(); ++i) {
    const CommandResult shown = RunOperatorCommand(
        context.programs, WithServer(fleet.instance(i), {"config", "show"}));
    const std::string version = shown.Member("version");
    in_force = in_force && !version.empty() && version != base;
    versions += " " + version;
  }
  return {
      applied.exit_code == 0 && late.exit_code == kExitStaleBase && in_force,
      "apply exit " + std::to_string(applied.exit_code) +
          ", second operator exit " + std::to_string(late.exit_code) +
          ", base " + base + ", versions in force" + versions};
}

StepResult PlannedStop(DemoContext& context) {
  Fleet& fleet = context.fleet;
  FleetInstance& leaving = fleet.instance(2);
  std::atomic<int> started = 0;
  std::vector<std::future<ChatReply>> streams;
  streams.reserve(kStopStreams);
  for (int i = 0; i < kStopStreams; ++i) {
    streams.push_back(std::async(std::launch::async, [&, i] {
      return support::Ask(
          leaving.address,
          Question(fleet.key(), "stop " + std::to_string(i), kStopAnswer),
          [&started](int count) { started += count == 1 ? 1 : 0; });
    }));
  }
  support::WaitUntil([&] { return started == kStopStreams; });
  leaving.router->Signal(SIGTERM);
  int whole = 0;
  for (int i = 0; i < kStopStreams; ++i) {
    const ChatReply reply = streams[i].get();
    const std::string expected =
        standin::ExpectedAnswer("stop " + std::to_string(i), kStopAnswer);
    whole += reply.done && reply.complete && reply.content == expected ? 1 : 0;
  }
  const int status = leaving.router->Wait();
  return {whole == kStopStreams && status == 0,
          std::to_string(whole) + " of " + std::to_string(kStopStreams) +
              " streams whole, exit status " + std::to_string(status)};
}

}  // namespace

const std::vector<DemoStep>& DemoSteps() {
  static const std::vector<DemoStep> steps = {
      {"the example configurations are valid", &CheckExamples},
      {"a chat answer is streamed while it is made", &StreamChat},
      {"a look-up on an open route is answered", &LookUp},
      {"a registration sent twice runs once", &RegisterTwice},
      {"a key is granted, and withdrawn during its stream", &GrantAndWithdraw},
      {"a configuration is in force on all instances", &ApplyConfig},
      {"a planned stop cuts no stream", &PlannedStop},
  };
  return steps;
}

}  // namespace bamboomount
