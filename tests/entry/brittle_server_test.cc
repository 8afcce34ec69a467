#include <atomic>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "entry_fixture/entry_fleet.h"
#include "support/wait_until.h"

namespace bamboomount::entry_test {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;
using support::WaitUntil;

constexpr int kInstances = 3;
constexpr int kServers = 2;
// Callers of each instance, each with one request at a time. Twice as many as
// the servers have room for.
constexpr int kCallers = 11;
constexpr Brittleness kBrittleness{8, 6, 100ms, 1000ms};
// The falls that the operator tolerates: two, and a tenth of the servers.
constexpr int kMaxFalls = 2 + kServers / 10;

// Three instances with gossip before two backend servers.
class BrittleFleet : public EntryFleet {
 public:
  BrittleFleet() {
    Configure(1, DefaultCustomers());
    for (int i = 0; i < kServers; ++i)
      servers_.push_back(&AddBackend("e-" + std::to_string(i)));
    for (int i = 0; i < kInstances; ++i) {
      instances_.push_back(&AddInstance("i-" + std::to_string(i),
                                        {{"peer_address", "127.0.0.1:0"}}));
      instances_.back()->WaitUntilReady();
    }
    for (const EntryInstance* instance : instances_)
      BOOST_REQUIRE(
          WaitUntil([&] { return CountListed(*instance) == kInstances; }));
  }

  void SetBrittleness(const Brittleness& brittleness) {
    for (BackendStandin* server : servers_)
      server->SetBrittleness(brittleness);
  }

  // Keeps all callers sending to `target` for `duration`. Returns how many
  // requests were answered with 200.
  int SendFor(std::chrono::milliseconds duration,
              const std::string& method,
              const std::string& target) {
    std::atomic<int> served = 0;
    const auto end = std::chrono::steady_clock::now() + duration;
    std::vector<std::thread> callers;
    for (const EntryInstance* instance : instances_) {
      for (int i = 0; i < kCallers; ++i)
        callers.emplace_back([&served, instance, end, method, target] {
          while (std::chrono::steady_clock::now() < end)
            served +=
                Call(*instance, MakeRequest(method, target)).status == 200;
        });
    }
    for (std::thread& caller : callers)
      caller.join();
    return served;
  }

  int CountFalls() {
    int falls = 0;
    for (BackendStandin* server : servers_) {
      const BrittleRecord record = server->brittle_record();
      BOOST_TEST_MESSAGE(server->id()
                         << ": served " << record.served << ", rejected "
                         << record.rejected << ", most in one second "
                         << record.most_rejected_in_one_second << ", falls "
                         << record.falls);
      falls += record.falls;
    }
    return falls;
  }

 private:
  static std::size_t CountListed(const EntryInstance& instance) {
    const auto response = support::CallOnce(
        instance.directory_address(),
        {"GET", "/bamboomount/resolve?name=h&region=r&zone=z", {}, ""});
    return response.status == 200
               ? json::parse(response.body).at("addresses").size()
               : 0;
  }

  std::vector<BackendStandin*> servers_;
  std::vector<EntryInstance*> instances_;
};

BOOST_FIXTURE_TEST_SUITE(brittle_server, BrittleFleet)

// Guards against instances that together make brittle servers refuse so many
// requests that these fall over, one after the other, under twice the load that
// they have room for.
BOOST_AUTO_TEST_CASE(brittle_servers_do_not_fall_over_in_an_overload) {
  // The instances learn it while there is still room for all.
  Brittleness roomy = kBrittleness;
  roomy.room = kInstances * kCallers;
  SetBrittleness(roomy);
  SendFor(500ms, "POST", "/book/x");
  SetBrittleness(kBrittleness);
  const int served = SendFor(6s, "POST", "/book/x");
  BOOST_TEST_MESSAGE("served " << served);
  BOOST_TEST(CountFalls() <= kMaxFalls);
  // Half of what the servers can run.
  constexpr int kMinServed = kServers * kBrittleness.room * 10 * 6 / 2;
  BOOST_TEST(served >= kMinServed);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount::entry_test
