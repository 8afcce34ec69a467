#include "state/log_fixture.h"

#include <rapidcheck.h>

namespace bamboomount {

std::string ConfigTextFor(const std::string& reason) {
  return "{\n\"zones\": [\n{\"zone\":\"a\",\"region\":\"r\"} // ANNA: " +
         reason +
         "\n],\n\"pools\": [], \"backends\": [], \"classes\": [],\n"
         "\"routes\": [],\n\"customers\": [\n"
         "{\"customer\":\"c\",\"share\":1,\"classes\":[]} // ANNA: test\n],\n"
         "\"limits\": []\n}\n";
}

Result<AppendOutcome> LogFixture::ApplyConfig(const std::string& author,
                                              std::uint64_t base) {
  return log.Append(
      author, ConfigApplied{{}, ConfigVersion(base), ConfigTextFor(author)},
      kTestTimeout);
}

Result<AppendOutcome> LogFixture::Grant(const std::string& key) {
  return log.Append(
      "ANNA",
      KeyGranted{KeyId(key), KeyDigest(Sha256Hex(key)), CustomerId("c")},
      kTestTimeout);
}

Result<AppendOutcome> LogFixture::Withdraw(const std::string& key) {
  return log.Append("ANNA", KeyWithdrawn{KeyId(key)}, kTestTimeout);
}

Result<AppendOutcome> LogFixture::Drain(const std::string& instance) {
  return log.Append("ANNA", InstanceDrained{InstanceId(instance)},
                    kTestTimeout);
}

std::vector<ConfigVersionEntry> LogFixture::History() {
  const auto all =
      log.CatchUp(std::make_shared<const ControlState>(), kTestTimeout).value();
  return log.History(all.state->config_version, 1000, kTestTimeout).value();
}

std::vector<Change> LogFixture::AppendRandomChanges() {
  std::vector<Change> changes;
  const auto add = [&](const Result<AppendOutcome>& outcome) {
    if (outcome && outcome.value().change)
      changes.push_back(*outcome.value().change);
  };
  add(ApplyConfig("ANNA", 0));
  std::uint64_t version = 1;
  const int count = *rc::gen::inRange(1, 90);
  for (int i = 0; i < count; ++i) {
    const auto name = "k" + std::to_string(*rc::gen::inRange(0, 8));
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        add(ApplyConfig("ANNA", version++));
        break;
      case 1:
        add(Grant(name));
        break;
      case 2:
        add(Withdraw(name));
        break;
      default:
        add(Drain(name));
    }
  }
  return changes;
}

}  // namespace bamboomount
