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

using support::ChatParameters;
using support::ChatReply;
using support::ClientRequest;
using support::ClientResponse;
using support::Fleet;
using support::FleetInstance;

constexpr int kShortStreamTokens = 20;
// The stream must still be running when its key is withdrawn.
constexpr int kLongStreamTokens = 2000;
// At 50 tokens per second such a stream takes longer than the 5 s during which
// a leaving instance still accepts requests.
constexpr int kShutdownStreamTokens = 350;
constexpr int kShutdownStreams = 8;
// Exit code of the bamboomount command if the configuration named by --base is
// not the current one.
constexpr int kExitStaleBase = 4;

std::int64_t MonotonicMicros() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

std::vector<std::string> WithServerOptions(const FleetInstance& instance,
                                           std::vector<std::string> words) {
  words.insert(words.end(),
               {"--server", instance.admin_address, "--author", "demo"});
  return words;
}

ChatParameters MakeChatParameters(const std::string& key,
                                  const std::string& prompt,
                                  int tokens) {
  ChatParameters parameters;
  parameters.key = key;
  parameters.prompt = prompt;
  parameters.max_tokens = tokens;
  return parameters;
}

StepResult CheckExampleConfigs(DemoContext& context) {
  StepResult result{true, ""};
  for (const auto& entry :
       std::filesystem::directory_iterator(context.examples)) {
    const std::string file = entry.path() / "service.jsonc";
    if (!std::filesystem::exists(file))
      continue;
    const CommandResult check =
        RunOperatorCommand(context.programs, {"config", "check", file});
    result.ok = result.ok && check.exit_code == 0;
    result.evidence += entry.path().filename().string() + " exit " +
                       std::to_string(check.exit_code) + "; ";
  }
  result.ok = result.ok && !result.evidence.empty();
  return result;
}

// Fails if the response is buffered: the first token must be received before
// the engine sends the last one, according to the engine's timestamps.
StepResult StreamChat(DemoContext& context) {
  const std::string prompt = "What does a team of eight eat before a race?";
  support::HttpClient caller(context.fleet.instance(0).address);
  caller.Send(support::ToRequest(
      MakeChatParameters(context.fleet.key(), prompt, kShortStreamTokens)));
  const int status = caller.ReadHead().status;
  std::int64_t first_received_us = 0;
  std::int64_t last_generated_us = 0;
  std::string content;
  while (const auto event = caller.ReadEvent()) {
    const auto chunk = nlohmann::json::parse(
        event->substr(event->find(' ') + 1), nullptr, false);
    if (!chunk.is_object() || !chunk.contains("sent_us"))
      continue;
    if (content.empty())
      first_received_us = MonotonicMicros();
    content += chunk["choices"][0]["delta"].value("content", "");
    last_generated_us = chunk["sent_us"].get<std::int64_t>();
  }
  const bool complete =
      content == standin::ExpectedAnswer(prompt, kShortStreamTokens) &&
      caller.ended_cleanly();
  return {status == 200 && complete && first_received_us < last_generated_us,
          "status " + std::to_string(status) + ", complete " +
              (complete ? "yes" : "no") + ", first token received " +
              std::to_string((last_generated_us - first_received_us) / 1000) +
              " ms before the last was generated"};
}

StepResult CallOpenRoute(DemoContext& context) {
  const ClientResponse response = support::CallOnce(
      context.fleet.instance(1).address,
      {"GET", std::string(Fleet::kOpenLookup) + "?number=7", {}, ""});
  return {response.status == 200 && response.complete,
          "status " + std::to_string(response.status)};
}

StepResult RegisterTwice(DemoContext& context) {
  Fleet& fleet = context.fleet;
  const ClientRequest call{"POST",
                           Fleet::kRegistration,
                           {{"Authorization", "Bearer " + fleet.key()},
                            {"Idempotency-Key", "demo-registration"}},
                           R"({"team":"demo"})"};
  const ClientResponse first =
      support::CallOnce(fleet.instance(0).address, call);
  const ClientResponse again =
      support::CallOnce(fleet.instance(1).address, call);
  int executions = 0;
  for (const auto& execution : fleet.ExecutedRequests())
    executions += execution.at("body") == call.body ? 1 : 0;
  const bool replayed = again.header("Idempotency-Replayed") == "true";
  return {first.status == 200 && again.status == 200 && replayed &&
              first.body == again.body && executions == 1,
          "status " + std::to_string(first.status) + " and " +
              std::to_string(again.status) + ", executions " +
              std::to_string(executions)};
}

// Waits until every instance knows the admin addresses of all others, without
// which a command cannot reach all instances. The platform's directory, from
// which they learn them, is stale by some time.
void WaitUntilInstancesListed(DemoContext& context) {
  support::WaitUntil([&] {
    const CommandResult status = RunOperatorCommand(
        context.programs,
        WithServerOptions(context.fleet.instance(0), {"status"}));
    bool listed = true;
    for (std::size_t i = 0; i < context.fleet.instance_count(); ++i) {
      const std::string& address = context.fleet.instance(i).admin_address;
      listed = listed && status.output.find(address) != std::string::npos;
    }
    return listed;
  });
}

StepResult GrantAndWithdrawKey(DemoContext& context) {
  Fleet& fleet = context.fleet;
  WaitUntilInstancesListed(context);
  const CommandResult grant = RunOperatorCommand(
      context.programs,
      WithServerOptions(fleet.instance(0),
                        {"key", "grant", "demo", "--customer", "mill"}));
  const std::string key = grant.Member("secret");
  if (grant.exit_code != 0 || key.empty())
    return {false, "key grant: exit " + std::to_string(grant.exit_code) + " " +
                       grant.output};
  fleet.WaitUntilServing(fleet.instance(1), key);
  std::atomic<int> tokens = 0;
  auto stream = std::async(std::launch::async, [&] {
    return support::SendChatRequest(
        fleet.instance(1).address,
        MakeChatParameters(key, "long", kLongStreamTokens),
        [&tokens](int count) { tokens = count; });
  });
  support::WaitUntil([&] { return tokens > 0; });
  const CommandResult withdraw = RunOperatorCommand(
      context.programs,
      WithServerOptions(fleet.instance(0), {"key", "withdraw", "demo"}));
  const ChatReply interrupted = stream.get();
  int refusals = 0;
  for (std::size_t i = 0; i < fleet.instance_count(); ++i) {
    const ChatReply refused = support::SendChatRequest(
        fleet.instance(i).address, MakeChatParameters(key, "again", 1));
    refusals += refused.error_code() == "withdrawn_key" ? 1 : 0;
  }
  return {withdraw.exit_code == 0 && interrupted.tokens > 0 &&
              !interrupted.done &&
              interrupted.error_code() == "withdrawn_key" &&
              refusals == static_cast<int>(fleet.instance_count()),
          "withdraw exit " + std::to_string(withdraw.exit_code) +
              ", the stream ended after " + std::to_string(interrupted.tokens) +
              " tokens with " + interrupted.error_code() + ", refused by " +
              std::to_string(refusals) + " instances" +
              (withdraw.exit_code == 0 ? "" : ": " + withdraw.output)};
}

StepResult ApplyConfig(DemoContext& context) {
  Fleet& fleet = context.fleet;
  const std::string file = fleet.instance(0).settings_path + ".service";
  std::ofstream(file) << fleet.ConfigText(50);
  const CommandResult before = RunOperatorCommand(
      context.programs,
      WithServerOptions(fleet.instance(0), {"config", "show"}));
  const std::string base = before.Member("version");
  const std::vector<std::string> apply = {"config", "apply", file, "--base",
                                          base};
  const CommandResult applied = RunOperatorCommand(
      context.programs, WithServerOptions(fleet.instance(0), apply));
  const CommandResult conflicting = RunOperatorCommand(
      context.programs, WithServerOptions(fleet.instance(1), apply));
  std::string versions;
  bool in_force = true;
  for (std::size_t i = 0; i < fleet.instance_count(); ++i) {
    const CommandResult shown = RunOperatorCommand(
        context.programs,
        WithServerOptions(fleet.instance(i), {"config", "show"}));
    const std::string version = shown.Member("version");
    in_force = in_force && !version.empty() && version != base;
    versions += " " + version;
  }
  return {applied.exit_code == 0 && conflicting.exit_code == kExitStaleBase &&
              in_force,
          "apply exit " + std::to_string(applied.exit_code) +
              ", second operator exit " +
              std::to_string(conflicting.exit_code) + ", base " + base +
              ", versions in force" + versions};
}

StepResult ShutDownGracefully(DemoContext& context) {
  Fleet& fleet = context.fleet;
  FleetInstance& leaving = fleet.instance(2);
  std::atomic<int> started = 0;
  std::vector<std::future<ChatReply>> streams;
  streams.reserve(kShutdownStreams);
  for (int i = 0; i < kShutdownStreams; ++i) {
    streams.push_back(std::async(std::launch::async, [&, i] {
      return support::SendChatRequest(
          leaving.address,
          MakeChatParameters(fleet.key(), "stop " + std::to_string(i),
                             kShutdownStreamTokens),
          [&started](int count) { started += count == 1 ? 1 : 0; });
    }));
  }
  support::WaitUntil([&] { return started == kShutdownStreams; });
  leaving.router->Signal(SIGTERM);
  int complete = 0;
  for (int i = 0; i < kShutdownStreams; ++i) {
    const ChatReply reply = streams[i].get();
    const std::string expected = standin::ExpectedAnswer(
        "stop " + std::to_string(i), kShutdownStreamTokens);
    complete +=
        reply.done && reply.complete && reply.content == expected ? 1 : 0;
  }
  const int status = leaving.router->Wait();
  return {complete == kShutdownStreams && status == 0,
          std::to_string(complete) + " of " + std::to_string(kShutdownStreams) +
              " streams complete, exit status " + std::to_string(status)};
}

}  // namespace

const std::vector<DemoStep>& DemoSteps() {
  static const std::vector<DemoStep> steps = {
      {"the example configurations are valid", &CheckExampleConfigs},
      {"a chat response is streamed while it is generated", &StreamChat},
      {"a request on an open route is served", &CallOpenRoute},
      {"a registration sent twice is executed once", &RegisterTwice},
      {"a key is granted, and its withdrawal ends its stream",
       &GrantAndWithdrawKey},
      {"a configuration is in force on all instances", &ApplyConfig},
      {"a graceful shutdown interrupts no stream", &ShutDownGracefully},
  };
  return steps;
}

}  // namespace bamboomount
