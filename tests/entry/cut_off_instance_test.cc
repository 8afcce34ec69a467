#include <boost/test/unit_test.hpp>
#include <chrono>
#include <csignal>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "entry_fixture/entry_fleet.h"
#include "platform/base64.h"
#include "support/tcp_proxy.h"
#include "support/wait_until.h"

namespace bamboomount::entry_test {
namespace {

using nlohmann::json;
using support::ClientRequest;
using support::ClientResponse;
using support::HttpClient;
using support::LinkMode;
using support::TcpProxy;
using support::WaitUntil;

constexpr std::size_t kServers = 3;
// From this time after a cut, callers of a cut instance must be served.
constexpr std::chrono::milliseconds kContactTime{3000};

// What a group of callers got at their first tries.
struct Outcomes {
  std::vector<std::string> request_ids;
  int served = 0;

  int failed() const { return static_cast<int>(request_ids.size()) - served; }
};

// Whether as many first tries are served as the users ask for: two thirds of
// those at other instances, and all but 10 and one in 50.
bool IsServedWell(const Outcomes& outcomes) {
  const int calls = static_cast<int>(outcomes.request_ids.size());
  return 3 * outcomes.served >= 2 * calls &&
         outcomes.failed() <= 10 + calls / 50;
}

// A request whose caller waits for a short time only.
ClientRequest MakeShortRequest(const std::string& method,
                               const std::string& target) {
  ClientRequest request = MakeRequest(method, target);
  for (auto& [name, value] : request.headers) {
    if (name == "X-Bamboomount-Deadline-Milliseconds")
      value = "2000";
  }
  return request;
}

// A gossiping fleet of which some instances reach the backend servers through
// proxies only, because the store's answers name the proxies to them.
class CutOffFleet : public EntryFleet {
 public:
  CutOffFleet() : store_view_(store().address()) {
    for (std::size_t i = 0; i < kServers; ++i) {
      servers_.push_back(&AddBackend("e-" + std::to_string(i + 1)));
      links_.push_back(std::make_unique<TcpProxy>(servers_.back()->address()));
      NameLinkInStoreView(*servers_.back(), *links_.back());
    }
    Configure(1, DefaultCustomers());
  }

  EntryInstance& AddConnected(const std::string& name) {
    return Add(name, store().address());
  }
  // Adds an instance that SetLinks() affects.
  EntryInstance& AddLinked(const std::string& name) {
    return Add(name, store_view_.address());
  }
  void SetLinks(LinkMode mode) {
    for (const auto& link : links_)
      link->SetMode(mode);
  }
  BackendStandin& server(std::size_t index) { return *servers_[index]; }

  // How often the servers have run the request.
  std::size_t CountRuns(const std::string& request_id) {
    std::size_t runs = 0;
    for (BackendStandin* server : servers_) {
      for (const auto& request : server->ExecutedRequests())
        runs += request.header("X-Bamboomount-Request-Id") == request_id;
    }
    return runs;
  }
  // The highest number of runs of any of the requests.
  std::size_t MaxRuns(const Outcomes& outcomes) {
    std::size_t most = 0;
    for (const std::string& id : outcomes.request_ids)
      most = std::max(most, CountRuns(id));
    return most;
  }

  // Calls the instance from a few callers at once, with requests that may run
  // twice and ones that may not.
  static Outcomes CallOften(EntryInstance& instance) {
    constexpr int kCallers = 6;
    constexpr int kCallsOfEach = 10;
    Outcomes all;
    std::mutex mutex;
    std::vector<std::thread> callers;
    callers.reserve(kCallers);
    for (int caller = 0; caller < kCallers; ++caller) {
      callers.emplace_back([&] {
        for (int i = 0; i < kCallsOfEach; ++i) {
          const ClientRequest request = i % 2 == 0
                                            ? MakeRequest("GET", "/lookup/x")
                                            : MakeRequest("POST", "/book/x");
          const int status = Call(instance, request).status;
          const std::lock_guard lock(mutex);
          all.request_ids.push_back(IdOf(request));
          all.served += status == 200 ? 1 : 0;
        }
      });
    }
    for (std::thread& caller : callers)
      caller.join();
    return all;
  }

  // Keeps calling for the time that an instance has to learn of a cut.
  static void CallUntilContactTime(EntryInstance& instance) {
    constexpr int kCallers = 3;
    std::vector<std::thread> callers;
    callers.reserve(kCallers);
    for (int caller = 0; caller < kCallers; ++caller) {
      callers.emplace_back([&instance] {
        WaitUntil(
            [&instance] {
              Call(instance, MakeShortRequest("GET", "/lookup/x"));
              return false;
            },
            kContactTime);
      });
    }
    for (std::thread& caller : callers)
      caller.join();
  }

  // Whether the instance has logged the event about the request.
  static bool HasLine(EntryInstance& instance,
                      const std::string& event,
                      const ClientRequest& request) {
    for (const json& line : instance.LogLines()) {
      if (line.value("name", "") == event &&
          line.value("request", "") == IdOf(request))
        return true;
    }
    return false;
  }

  static std::string IdOf(const ClientRequest& request) {
    for (const auto& [name, value] : request.headers) {
      if (name == "X-Bamboomount-Request-Id")
        return value;
    }
    return "";
  }

 private:
  EntryInstance& Add(const std::string& name, const std::string& store) {
    EntryInstance& instance = AddInstance(
        name, {{"peer_address", "127.0.0.1:0"}, {"store_address", store}});
    instance.WaitUntilReady();
    BOOST_TEST(WaitUntilListed(instance, ++instances_));
    return instance;
  }
  // Replaces the whole value of the server's row, because the store's answers
  // have it in base64.
  void NameLinkInStoreView(const BackendStandin& server, const TcpProxy& link) {
    const std::string value = server.RowValue("pool");
    std::string other = value;
    other.replace(other.find(server.address()), server.address().size(),
                  link.address());
    store_view_.Replace(EncodeBase64(value), EncodeBase64(other));
  }
  static bool WaitUntilListed(EntryInstance& instance, std::size_t count) {
    return WaitUntil([&] {
      const auto response = support::CallOnce(
          instance.directory_address(),
          {"GET", "/bamboomount/resolve?name=h&region=r&zone=z", {}, ""});
      return response.status == 200 &&
             json::parse(response.body).at("addresses").size() == count;
    });
  }

  TcpProxy store_view_;
  std::vector<BackendStandin*> servers_;
  std::vector<std::unique_ptr<TcpProxy>> links_;
  std::size_t instances_ = 0;
};

BOOST_FIXTURE_TEST_SUITE(cut_off_instance, CutOffFleet)

// Guards against an instance that refuses its callers when it has lost its
// connections to all backend servers, although other instances reach them; and
// against requests that run twice because they went another way.
BOOST_AUTO_TEST_CASE(callers_are_served_while_no_server_can_be_reached) {
  EntryInstance& cut = AddLinked("i-1");
  AddConnected("i-2");
  AddConnected("i-3");
  for (const LinkMode mode :
       {LinkMode::kRefuse, LinkMode::kHang, LinkMode::kRefuseNew}) {
    BOOST_TEST_CONTEXT("link mode " << static_cast<int>(mode)) {
      BOOST_TEST(IsServedWell(CallOften(cut)));
      SetLinks(mode);
      CallUntilContactTime(cut);
      const Outcomes outcomes = CallOften(cut);
      BOOST_TEST_MESSAGE("served " << outcomes.served << ", failed "
                                   << outcomes.failed());
      BOOST_TEST(IsServedWell(outcomes));
      BOOST_TEST(MaxRuns(outcomes) <= 1U);
      SetLinks(LinkMode::kForward);
      BOOST_TEST(WaitUntil([&] {
        return Call(cut, MakeRequest("GET", "/lookup/x")).status == 200;
      }));
    }
  }
}

// Guards against streams that a cut-off instance cannot begin or breaks off.
BOOST_AUTO_TEST_CASE(streams_are_complete_while_no_server_can_be_reached) {
  EntryInstance& cut = AddLinked("i-1");
  AddConnected("i-2");
  SetLinks(LinkMode::kRefuse);
  CallUntilContactTime(cut);
  for (const std::string target : {"/talk/stream", "/resume/stream"}) {
    HttpClient client(cut.caller_address());
    client.Send(MakeRequest("POST", target));
    BOOST_TEST(client.ReadHead().status == 200);
    int events = 0;
    while (client.ReadEvent())
      ++events;
    BOOST_TEST(events == kStreamEvents);
    BOOST_TEST(client.ended_cleanly());
  }
}

// Guards against a request that is sent another way, or to another instance,
// once it may have run.
BOOST_AUTO_TEST_CASE(a_request_that_may_have_run_is_not_sent_again) {
  EntryInstance& cut = AddLinked("i-1");
  AddConnected("i-2");
  AddConnected("i-3");
  SetLinks(LinkMode::kRefuse);
  CallUntilContactTime(cut);
  for (std::size_t i = 0; i < kServers; ++i)
    server(i).SetMode(BackendMode::kLoseReply);
  const ClientRequest request = MakeRequest("POST", "/book/x");
  BOOST_TEST(Call(cut, request).status == 502);
  BOOST_TEST(CountRuns(IdOf(request)) == 1U);
}

// Guards against a refusal of an engine that reaches the caller as a failure of
// the network between the instances.
BOOST_AUTO_TEST_CASE(a_refusal_by_all_servers_stays_a_refusal) {
  EntryInstance& cut = AddLinked("i-1");
  AddConnected("i-2");
  SetLinks(LinkMode::kRefuse);
  CallUntilContactTime(cut);
  for (std::size_t i = 0; i < kServers; ++i)
    server(i).SetMode(BackendMode::kRefuse);
  BOOST_TEST(Call(cut, MakeRequest("POST", "/book/x")).status == 503);
}

// Guards against instances that send a request round in circles when none of
// them reaches a server, and against answers that leave open whether it ran.
BOOST_AUTO_TEST_CASE(a_request_that_no_instance_can_serve_is_refused) {
  EntryInstance& first = AddLinked("i-1");
  EntryInstance& second = AddLinked("i-2");
  SetLinks(LinkMode::kRefuse);
  CallUntilContactTime(first);
  CallUntilContactTime(second);
  for (EntryInstance* instance : {&first, &second}) {
    const ClientResponse response =
        Call(*instance, MakeRequest("POST", "/book/x"));
    BOOST_TEST(response.status == 503);
    BOOST_TEST(!response.header("Retry-After").empty());
  }
}

// Guards against requests that are lost or hang when the instance that relays
// them dies.
BOOST_AUTO_TEST_CASE(another_instance_relays_when_one_has_died) {
  EntryInstance& cut = AddLinked("i-1");
  EntryInstance& dying = AddConnected("i-2");
  AddConnected("i-3");
  SetLinks(LinkMode::kRefuse);
  CallUntilContactTime(cut);
  dying.process().Signal(SIGKILL);
  const Outcomes outcomes = CallOften(cut);
  BOOST_TEST(IsServedWell(outcomes));
  BOOST_TEST(MaxRuns(outcomes) <= 1U);
}

// Guards against an instance that goes on to use other instances, or refuses
// requests, when its network has come back.
BOOST_AUTO_TEST_CASE(servers_are_used_directly_after_a_cut) {
  EntryInstance& cut = AddLinked("i-1");
  AddConnected("i-2");
  SetLinks(LinkMode::kRefuse);
  CallUntilContactTime(cut);
  SetLinks(LinkMode::kForward);
  CallUntilContactTime(cut);
  // The lines of one request may be among those that are dropped after many
  // calls.
  constexpr std::chrono::milliseconds kLogTime{2000};
  BOOST_TEST(WaitUntil([&] {
    const ClientRequest request = MakeRequest("POST", "/book/x");
    if (Call(cut, request).status != 200)
      return false;
    const bool logged = WaitUntil(
        [&] { return HasLine(cut, "request_ended", request); }, kLogTime);
    return logged && HasLine(cut, "request_placed", request) &&
           !HasLine(cut, "request_relayed", request);
  }));
}

// Guards against a caller that passes a request off as one of another instance.
BOOST_AUTO_TEST_CASE(a_caller_cannot_mark_a_request_as_relayed) {
  EntryInstance& cut = AddLinked("i-1");
  AddConnected("i-2");
  ClientRequest request = MakeRequest("GET", "/lookup/x");
  request.headers.emplace_back("X-Bamboomount-Relayed-By", "i-2");
  BOOST_TEST(Call(cut, request).status == 200);
  SetLinks(LinkMode::kRefuse);
  CallUntilContactTime(cut);
  ClientRequest second = MakeRequest("GET", "/lookup/x");
  second.headers.push_back(request.headers.back());
  BOOST_TEST(Call(cut, second).status == 200);
  for (std::size_t i = 0; i < kServers; ++i) {
    for (const auto& executed : server(i).ExecutedRequests())
      BOOST_TEST(executed.header("X-Bamboomount-Relayed-By") == "");
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount::entry_test
