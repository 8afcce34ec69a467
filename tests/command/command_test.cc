#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <sstream>

#include "admin/fake_fleet_operations.h"
#include "command/command_registry.h"

namespace bamboomount {
namespace {

constexpr char kToken[] = "test-token";

struct Outcome {
  ExitCode exit = ExitCode::kSuccess;
  std::string out;
  std::string err;

  nlohmann::json Json() const { return nlohmann::json::parse(out); }
};

Outcome RunCommand(const std::vector<std::string>& args,
                   const std::string& token = kToken) {
  std::ostringstream out;
  std::ostringstream err;
  Console console(out, err, [&](const char* name) -> std::string {
    if (std::string(name) == "BAMBOOMOUNT_ADMIN_TOKEN")
      return token;
    return std::string(name) == "USER" ? "ANNA" : "";
  });
  const ExitCode exit = RunCommandLine(args, console);
  return {exit, out.str(), err.str()};
}

std::string ReadSourceFile(const std::string& name) {
  std::ifstream file(std::string(BAMBOOMOUNT_SOURCE_DIR) + "/" + name);
  return {std::istreambuf_iterator<char>(file), {}};
}

class TemporaryFile {
 public:
  explicit TemporaryFile(const std::string& text)
      : path_((std::filesystem::temp_directory_path() /
               ("bamboomount-" + RandomHex(8)))
                  .string()) {
    std::ofstream(path_) << text;
  }
  ~TemporaryFile() { std::filesystem::remove(path_); }
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;

  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

// Two instances over one store; the second follows the log once it is started.
struct FleetFixture {
  LogFixture stores;
  FakeFleetOperations one{"one", stores};
  FakeFleetOperations two{"two", stores, Millis(5)};
  std::unique_ptr<AdminServer> server_one = ServeOnFreePort(one, kToken);
  std::unique_ptr<AdminServer> server_two = ServeOnFreePort(two, kToken);

  FleetFixture() { one.other_instances = {two.SelfStatus()}; }

  Outcome Run(std::vector<std::string> args) {
    args.insert(args.end(), {"--server", one.admin_address, "-o", "json"});
    return RunCommand(args);
  }
  void ApplyAndPollFirstConfig() {
    BOOST_REQUIRE(stores.ApplyConfig("BEAT", 0).has_value());
    BOOST_REQUIRE(one.follower.PollOnce().has_value());
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(commands, FleetFixture)

// Operators check a file before the fleet exists, and repair it in one go.
BOOST_AUTO_TEST_CASE(config_check_reports_every_error_without_a_server) {
  const std::string good = std::string(BAMBOOMOUNT_SOURCE_DIR) +
                           "/examples/commission-desk/service.jsonc";
  BOOST_TEST(
      (RunCommand({"config", "check", good}).exit == ExitCode::kSuccess));
  const TemporaryFile bad("{\n\"zones\": 1,\n\"pool\": []\n}\n");
  const auto outcome =
      RunCommand({"config", "check", bad.path(), "-o", "json"});
  BOOST_TEST((outcome.exit == ExitCode::kInvalidConfig));
  // One wrong type, one unknown array, six missing arrays.
  BOOST_TEST(outcome.Json()["errors"].size() == 8U);
  BOOST_TEST((RunCommand({"config", "check", "/nonexistent"}).exit ==
              ExitCode::kNotFound));
}

// I13: the operator must know on which instances the rules are in force.
BOOST_AUTO_TEST_CASE(
    config_apply_reports_the_instances_with_the_change_in_force) {
  const TemporaryFile file(ConfigTextFor("first"));
  const auto lagging =
      Run({"config", "apply", file.path(), "--base", "0", "--wait", "0"});
  BOOST_TEST((lagging.exit == ExitCode::kNotInForce));
  const auto instances = lagging.Json()["instances"];
  BOOST_REQUIRE(instances.size() == 2U);
  BOOST_TEST(instances[0]["instance"] == "two");
  BOOST_TEST(instances[0]["in_force"] == false);
  BOOST_TEST(instances[1]["in_force"] == true);
  two.follower.Start();
  const TemporaryFile next(ConfigTextFor("second"));
  const auto applied = Run({"config", "apply", next.path(), "--base", "1"});
  BOOST_TEST((applied.exit == ExitCode::kSuccess));
  BOOST_TEST(applied.Json()["version"] == 2);
  const auto stale = Run({"config", "apply", file.path(), "--base", "1"});
  BOOST_TEST((stale.exit == ExitCode::kStaleBase));
  BOOST_TEST(stale.Json()["error"]["code"] == "stale_base");
  two.follower.Stop();
}

// Undo is a new version with an old text, so old texts must come back whole.
BOOST_AUTO_TEST_CASE(versions_are_shown_compared_and_listed) {
  ApplyAndPollFirstConfig();
  BOOST_REQUIRE(stores.ApplyConfig("CARLA", 1).has_value());
  BOOST_REQUIRE(one.follower.PollOnce().has_value());
  BOOST_TEST(Run({"config", "show", "--config-version", "1"}).Json()["text"] ==
             ConfigTextFor("BEAT"));
  BOOST_TEST(RunCommand({"config", "show", "--text-only", "--server",
                         one.admin_address})
                 .out == ConfigTextFor("CARLA"));
  BOOST_TEST(
      Run({"config", "diff", "--from", "1", "--to", "2"}).Json()["text"] ==
      "- {\"zone\":\"a\",\"region\":\"r\"} // ANNA: BEAT\n"
      "+ {\"zone\":\"a\",\"region\":\"r\"} // ANNA: CARLA\n");
  BOOST_TEST((Run({"config", "diff"}).exit == ExitCode::kUsage));
  BOOST_TEST(Run({"config", "history"}).Json()["versions"][1]["author"] ==
             "CARLA");
}

// I5 in a store outage: the command itself carries the withdrawal to each
// instance, and says so.
BOOST_AUTO_TEST_CASE(key_withdraw_reaches_each_instance_during_a_store_outage) {
  ApplyAndPollFirstConfig();
  const auto granted = Run({"key", "grant", "k", "--customer", "c"}).Json();
  const KeyDigest digest(Sha256Hex(granted["secret"].get<std::string>()));
  BOOST_TEST(one.holder.current()->keys.contains(digest));
  stores.table.unavailable = true;
  const auto outcome = Run({"key", "withdraw", "k"});
  BOOST_TEST((outcome.exit == ExitCode::kSuccess));
  BOOST_TEST(outcome.Json()["in_log"] == false);
  const auto instances = outcome.Json()["instances"];
  BOOST_TEST(instances.size() == 2U);
  for (const auto& line : instances)
    BOOST_TEST(line["detail"] == "emergency");
  BOOST_TEST(two.holder.emergency_withdrawals().contains(KeyId("k")));
  BOOST_TEST(Run({"key", "list"}).Json()["keys"][0]["withdrawn"] == true);
  server_two.reset();
  BOOST_TEST((Run({"key", "withdraw", "k"}).exit == ExitCode::kNotInForce));
}

// A lagging instance gets the withdrawal directly even while the store works.
BOOST_AUTO_TEST_CASE(key_withdraw_sends_directly_to_a_lagging_instance) {
  ApplyAndPollFirstConfig();
  BOOST_REQUIRE(Run({"key", "grant", "k", "-c", "c"}).exit ==
                ExitCode::kSuccess);
  const auto outcome = Run({"key", "withdraw", "k", "--wait", "0"});
  BOOST_TEST((outcome.exit == ExitCode::kSuccess));
  BOOST_TEST(outcome.Json()["in_log"] == true);
  BOOST_TEST(outcome.Json()["instances"][0]["detail"] == "emergency");
  BOOST_TEST(outcome.Json()["instances"][1]["detail"] == "log");
}

// Status must tell an instance that answers from one that other_instances
// remember.
BOOST_AUTO_TEST_CASE(status_drain_usage_and_trace_query_the_fleet) {
  ApplyAndPollFirstConfig();
  server_two.reset();
  const auto status = Run({"status"}).Json();
  BOOST_TEST(status["lease_holder"] == "one");
  BOOST_TEST(status["instances"][0]["answers"] == false);
  BOOST_TEST(status["instances"][1]["version"] == 1);
  BOOST_TEST(status["backends"][0]["condition"] == "straggler");
  BOOST_TEST((Run({"instance", "drain", "typo"}).exit == ExitCode::kNotFound));
  BOOST_TEST((Run({"instance", "drain", "one"}).exit == ExitCode::kSuccess));
  BOOST_TEST(one.holder.current()->drained.contains(InstanceId("one")));
  BOOST_TEST(Run({"usage"}).Json()["usage"][0]["output_tokens"] == 40);
  BOOST_TEST(Run({"trace", "t"}).Json()["spans"].size() == 1U);
}

// Scripts branch on these numbers.
BOOST_AUTO_TEST_CASE(errors_have_distinct_exit_codes) {
  const std::vector<std::string> status = {"status", "--server",
                                           one.admin_address};
  BOOST_TEST((RunCommand(status, "wrong").exit == ExitCode::kTokenRefused));
  BOOST_TEST((RunCommand(status, "").exit == ExitCode::kUsage));
  BOOST_TEST((RunCommand({"status", "--server", "127.0.0.1:1"}).exit ==
              ExitCode::kUnreachable));
  BOOST_TEST((RunCommand({"status", "--nonsense"}).exit == ExitCode::kUsage));
  BOOST_TEST((RunCommand({"nonsense"}).exit == ExitCode::kUsage));
  BOOST_TEST((RunCommand({}).exit == ExitCode::kUsage));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(command_documentation)

// A command or exit code that docs/cli.md does not list is unknown to scripts.
BOOST_AUTO_TEST_CASE(every_command_has_help_and_is_documented) {
  const std::string page = ReadSourceFile("docs/cli.md");
  for (const auto& command : Commands()) {
    std::istringstream words(command->name());
    std::vector<std::string> args{std::istream_iterator<std::string>(words),
                                  {}};
    args.emplace_back("--help");
    const auto outcome = RunCommand(args);
    BOOST_TEST((outcome.exit == ExitCode::kSuccess));
    BOOST_TEST(outcome.out.find("--output") != std::string::npos);
    BOOST_TEST(page.find("`" + command->name()) != std::string::npos,
               command->name());
  }
  BOOST_TEST((RunCommand({"--help"}).exit == ExitCode::kSuccess));
  BOOST_TEST((RunCommand({"config", "--help"}).exit == ExitCode::kSuccess));
  for (int code = 0; code <= static_cast<int>(ExitCode::kStoreUnavailable);
       ++code)
    BOOST_TEST(page.find("| " + std::to_string(code) + " |") !=
               std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bamboomount
