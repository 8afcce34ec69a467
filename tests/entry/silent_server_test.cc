#include <boost/test/unit_test.hpp>
#include <chrono>
#include <future>
#include <string>
#include <vector>

#include "entry_fixture/entry_fleet.h"
#include "support/wait_until.h"

namespace bamboomount::entry_test {
namespace {

using support::ClientRequest;
using support::ClientResponse;
using support::WaitUntil;
using Clock = std::chrono::steady_clock;

// One instance and two backend servers that are sound but may fall silent. On
// the route /quick/ a request is repeated elsewhere long before a silence ends.
class SilentServers : public EntryFleet {
 public:
  SilentServers() {
    nlohmann::json config = MakeConfig(1, DefaultCustomers());
    nlohmann::json quick = MakeRoute("/quick/", "safe", false);
    quick["target_latency_ms"] = 500;
    config["routes"].push_back(quick);
    store().Put("op", "config", config.dump());
    servers_ = {&AddBackend("e-1"), &AddBackend("e-2")};
    instance_ = &AddInstance();
    instance_->WaitUntilReady();
  }

  const std::vector<BackendStandin*>& servers() { return servers_; }
  EntryInstance& instance() { return *instance_; }

  // Sends the requests while `silent` are silent for kSilence, and returns the
  // responses.
  std::vector<ClientResponse> CallInSilence(
      const std::vector<BackendStandin*>& silent,
      const std::vector<ClientRequest>& requests) {
    for (BackendStandin* server : silent)
      server->SetMode(BackendMode::kHold);
    const auto start = Clock::now();
    std::vector<std::future<ClientResponse>> calls;
    calls.reserve(requests.size());
    for (const ClientRequest& request : requests)
      calls.push_back(std::async(std::launch::async, [this, request] {
        return Call(*instance_, request);
      }));
    WaitUntil([start] { return Clock::now() - start >= kSilence; });
    for (BackendStandin* server : silent)
      server->SetMode(BackendMode::kAnswer);
    std::vector<ClientResponse> responses;
    responses.reserve(calls.size());
    for (auto& call : calls)
      responses.push_back(call.get());
    return responses;
  }

  // How often the request ran at the servers.
  int CountRuns(const ClientRequest& request) {
    std::string id;
    for (const auto& [name, value] : request.headers) {
      if (name == "X-Bamboomount-Request-Id")
        id = value;
    }
    int runs = 0;
    for (BackendStandin* server : servers_) {
      for (const auto& seen : server->ExecutedRequests())
        runs += seen.header("X-Bamboomount-Request-Id") == id ? 1 : 0;
    }
    return runs;
  }

 private:
  std::vector<BackendStandin*> servers_;
  EntryInstance* instance_ = nullptr;
};

// A few requests of each kind.
std::vector<ClientRequest> AllKinds() {
  std::vector<ClientRequest> requests;
  for (int i = 0; i < 4; ++i) {
    requests.push_back(MakeRequest("POST", "/book/x"));
    requests.push_back(MakeRequest("GET", "/quick/x"));
    requests.push_back(MakeRequest("POST", "/talk/stream"));
    requests.push_back(MakeRequest("POST", "/resume/stream"));
  }
  return requests;
}

BOOST_FIXTURE_TEST_SUITE(silent_server, SilentServers)

// Guards against requests that are cut or refused, or that run twice although
// they must not, because one or all sound servers are silent for a second.
BOOST_AUTO_TEST_CASE(a_silence_ends_no_request) {
  for (const bool all : {false, true}) {
    BOOST_TEST_CONTEXT((all ? "all servers" : "one server")) {
      const auto requests = AllKinds();
      const auto responses = CallInSilence(
          all ? servers() : std::vector{servers().front()}, requests);
      for (std::size_t i = 0; i < requests.size(); ++i) {
        BOOST_TEST_CONTEXT(requests[i].target) {
          BOOST_TEST(responses[i].status == 200);
          BOOST_TEST(responses[i].complete);
          const int most_runs = requests[i].target == "/quick/x" ? 2 : 1;
          BOOST_TEST(CountRuns(requests[i]) <= most_runs);
        }
      }
    }
  }
}

// Guards against a stream that is cut or begun elsewhere because its server is
// silent for a second between two events.
BOOST_AUTO_TEST_CASE(a_silence_in_a_stream_does_not_end_it) {
  for (BackendStandin* server : servers())
    server->SetMode(BackendMode::kSilentInStream);
  for (const std::string target : {"/talk/stream", "/resume/stream"}) {
    BOOST_TEST_CONTEXT(target) {
      const ClientRequest request = MakeRequest("POST", target);
      const ClientResponse response = Call(instance(), request);
      BOOST_TEST(response.status == 200);
      BOOST_TEST(response.complete);
      BOOST_TEST(response.body.find("piece " + std::to_string(kStreamEvents)) !=
                 std::string::npos);
      BOOST_TEST(CountRuns(request) == 1);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount::entry_test
