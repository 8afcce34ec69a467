#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "entry_fixture/entry_fleet.h"
#include "support/wait_until.h"

namespace bamboomount::entry_test {
namespace {

using support::ClientRequest;
using support::WaitUntil;

constexpr char kSoundPart[] = "beef";

// Two instances that exchange gossip, and engines that crash on one part of
// prompts.
class CrashingEngines : public EntryFleet {
 public:
  CrashingEngines() {
    constexpr int kEngines = 6;
    nlohmann::json config = MakeConfig(1, DefaultCustomers());
    config["services"][0]["engine"] = {{"slots", 8},
                                       {"kv_capacity_tokens", 100'000}};
    store().Put("op", "config", config.dump());
    for (int i = 0; i < kEngines; ++i) {
      engines_.push_back(&AddBackend("e-" + std::to_string(i)));
      engines_.back()->SetMode(BackendMode::kCrashOnPoisonPart);
    }
    for (const char* name : {"i-1", "i-2"})
      instances_.push_back(
          &AddInstance(name, {{"peer_address", "127.0.0.1:0"}}));
    for (EntryInstance* instance : instances_)
      instance->WaitUntilReady();
  }

  // Status of a request with the part, sent to instance `number`.
  unsigned Ask(std::size_t number, const std::string& part) {
    const EntryInstance& instance = *instances_[number];
    ++sent_;
    ClientRequest request = MakeRequest("POST", "/resume/stream");
    request.headers.emplace_back("X-Bamboomount-Token-Counts", "170,10");
    request.headers.emplace_back(
        "X-Bamboomount-Prompt-Prefix",
        "a1:100," + part + ":50," + std::to_string(sent_) + ":20");
    return Call(instance, request).status;
  }
  int PoisonArrivals() {
    int count = 0;
    for (BackendStandin* engine : engines_) {
      const auto arrivals = engine->Arrivals();
      count += static_cast<int>(std::count_if(
          arrivals.begin(), arrivals.end(), [](const Arrival& arrival) {
            return HasPoisonPart(arrival.request);
          }));
    }
    return count;
  }
  bool AllInstancesKnow() {
    return std::all_of(
        instances_.begin(), instances_.end(), [](EntryInstance* instance) {
          const auto lines = instance->LogLines();
          return std::any_of(lines.begin(), lines.end(), [](const auto& line) {
            return line["name"] == "poison_part_found";
          });
        });
  }

 private:
  std::vector<BackendStandin*> engines_;
  std::vector<EntryInstance*> instances_;
  std::size_t sent_ = 0;
};

BOOST_FIXTURE_TEST_SUITE(poison_part, CrashingEngines)

// Guards against requests of one kind that crash one engine after the other,
// through all instances, and against sound requests that are refused with them.
BOOST_AUTO_TEST_CASE(requests_with_a_part_that_crashes_engines_are_refused) {
  constexpr int kRequests = 20;
  const bool found = WaitUntil([this] {
    // The second instance sees no crash itself.
    Ask(0, kPoisonPart);
    BOOST_TEST(Ask(0, kSoundPart) == 200U);
    return AllInstancesKnow();
  });
  BOOST_TEST(found);
  const int before = PoisonArrivals();
  for (int i = 0; i < kRequests; ++i) {
    BOOST_TEST(Ask(i % 2, kPoisonPart) == 503U);
    BOOST_TEST(Ask(i % 2, kSoundPart) == 200U);
  }
  BOOST_TEST(PoisonArrivals() == before);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount::entry_test
