#include <boost/test/unit_test.hpp>
#include <chrono>
#include <csignal>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "entry_fixture/entry_fleet.h"
#include "support/wait_until.h"

namespace bamboomount::entry_test {
namespace {

using nlohmann::json;
using support::WaitUntil;

int StatusOf(EntryInstance& instance,
             const std::string& target,
             const std::string& key = "key-mill") {
  return Call(instance, MakeRequest("GET", target, key)).status;
}

BOOST_FIXTURE_TEST_SUITE(store_sync, EntryFleet)

// Guards against an instance that reports ready, rejects all keys or admits all
// callers before it has read the configuration from the store.
BOOST_AUTO_TEST_CASE(requests_are_refused_before_the_configuration_is_loaded) {
  AddBackend("e-1");
  EntryInstance& instance = AddInstance();
  BOOST_TEST(!instance.IsReady());
  BOOST_TEST(StatusOf(instance, "/lookup/x") == 503);
  Configure(1, DefaultCustomers());
  instance.WaitUntilReady();
  BOOST_TEST(StatusOf(instance, "/lookup/x") == 200);
}

// Guards against a withdrawn key that keeps working, and a new key that does
// not start to, because a running instance misses a configuration change.
BOOST_AUTO_TEST_CASE(keys_follow_the_configuration) {
  AddBackend("e-1");
  Configure(1, DefaultCustomers());
  EntryInstance& instance = AddInstance();
  instance.WaitUntilReady();
  BOOST_TEST(StatusOf(instance, "/lookup/x") == 200);
  Configure(2, json::array({{{"name", "mill"}, {"api_keys", {"key-new"}}}}));
  BOOST_TEST(WaitUntil(
      [&] { return StatusOf(instance, "/lookup/x", "key-new") == 200; }));
  BOOST_TEST(StatusOf(instance, "/lookup/x") == 401);
}

// Guards against an older configuration that replaces a newer one when it is
// written to the store later.
BOOST_AUTO_TEST_CASE(an_older_version_is_not_applied) {
  AddBackend("e-1");
  Configure(5, DefaultCustomers());
  EntryInstance& instance = AddInstance();
  instance.WaitUntilReady();
  Configure(4, json::array());
  Configure(6, json::array({{{"name", "mill"}, {"api_keys", {"key-new"}}}}));
  BOOST_TEST(WaitUntil(
      [&] { return StatusOf(instance, "/lookup/x", "key-new") == 200; }));
  for (const json& line : instance.LogLines()) {
    if (line.value("name", "") == "config_applied")
      BOOST_TEST(line.at("version") != "4");
  }
}

// Guards against a withdrawn key that keeps working on an instance that cannot
// reach the store, and against an outage of the store that also stops requests
// without keys.
BOOST_AUTO_TEST_CASE(without_the_store_only_requests_without_keys_are_served) {
  AddBackend("e-1");
  Configure(1, DefaultCustomers());
  EntryInstance& instance =
      AddInstance("i-1", {{"key_withdrawal_deadline_ms", 3500}});
  instance.WaitUntilReady();
  for (const StoreMode mode :
       {StoreMode::kRefusing, StoreMode::kClosing, StoreMode::kSilent}) {
    store().SetMode(mode);
    BOOST_TEST(
        WaitUntil([&] { return StatusOf(instance, "/lookup/x") == 503; }));
    BOOST_TEST(StatusOf(instance, "/open/x", "") == 200);
    store().SetMode(StoreMode::kUp);
    BOOST_TEST(
        WaitUntil([&] { return StatusOf(instance, "/lookup/x") == 200; }));
  }
}

// Guards against changes that are missed because the store dropped its history
// while an instance could not read it.
BOOST_AUTO_TEST_CASE(lost_history_leads_to_a_full_read) {
  AddBackend("e-1");
  Configure(1, DefaultCustomers());
  EntryInstance& instance = AddInstance();
  instance.WaitUntilReady();
  store().SetMode(StoreMode::kRefusing);
  Configure(2, json::array({{{"name", "mill"}, {"api_keys", {"key-new"}}}}));
  store().DiscardHistory();
  store().SetMode(StoreMode::kUp);
  BOOST_TEST(WaitUntil(
      [&] { return StatusOf(instance, "/lookup/x", "key-new") == 200; }));
}

// Guards against new requests to a draining server, and against a malformed row
// that ends the process.
BOOST_AUTO_TEST_CASE(a_draining_server_gets_no_new_requests) {
  BackendStandin& first = AddBackend("e-1");
  Configure(1, DefaultCustomers());
  EntryInstance& instance = AddInstance();
  instance.WaitUntilReady();
  store().Put("servers", "broken", "{\"service\":7}");
  AddBackend("e-2");
  store().Put("servers", "e-1", first.RowValue("pool", true));
  BOOST_TEST(WaitUntil([&] {
    const int before = first.ArrivalCount();
    for (int i = 0; i < 4; ++i)
      StatusOf(instance, "/lookup/x");
    return first.ArrivalCount() == before;
  }));
  BOOST_TEST(StatusOf(instance, "/lookup/x") == 200);
}

// Guards against an instance that is never offered to callers, and against one
// that is still offered while it stops.
BOOST_AUTO_TEST_CASE(resolve_lists_only_serving_instances) {
  AddBackend("e-1");
  Configure(1, DefaultCustomers());
  EntryInstance& first = AddInstance("i-1");
  EntryInstance& second = AddInstance("i-2");
  const auto addresses = [&first] {
    const auto response = support::CallOnce(
        first.directory_address(),
        {"GET", "/bamboomount/resolve?name=h&region=r&zone=z", {}, ""});
    return response.status == 200 ? json::parse(response.body).at("addresses")
                                  : json::array();
  };
  BOOST_TEST(WaitUntil([&] { return addresses().size() == 2U; }));
  second.process().Signal(SIGTERM);
  BOOST_TEST(WaitUntil(
      [&] { return addresses() == json::array({first.caller_address()}); }));
}

// Guards against a graceful shutdown that breaks off a request in progress, or
// refuses one of a caller that still uses the old address list.
BOOST_AUTO_TEST_CASE(a_graceful_shutdown_finishes_accepted_requests) {
  BackendStandin& backend = AddBackend("e-1");
  Configure(1, DefaultCustomers());
  EntryInstance& instance = AddInstance();
  instance.WaitUntilReady();
  backend.SetMode(BackendMode::kHold);
  support::HttpClient client(instance.caller_address());
  client.Send(MakeRequest("POST", "/book/x"));
  BOOST_TEST(
      WaitUntil([&] { return backend.ExecutedRequests().size() == 1U; }));
  instance.process().Signal(SIGTERM);
  BOOST_TEST(WaitUntil([&] { return !instance.IsReady(); }));
  support::HttpClient late(instance.caller_address());
  late.Send(MakeRequest("POST", "/book/y"));
  BOOST_TEST(
      WaitUntil([&] { return backend.ExecutedRequests().size() == 2U; }));
  backend.SetMode(BackendMode::kAnswer);
  BOOST_TEST(client.ReadResponse().status == 200);
  BOOST_TEST(late.ReadResponse().status == 200);
  BOOST_TEST(instance.process().Wait() == 0);
}

// Guards against a request that is accepted so late in a graceful shutdown that
// the process ends before it does. A conversation was broken off 7.5 s after
// the signal.
BOOST_AUTO_TEST_CASE(requests_late_in_a_graceful_shutdown_are_refused) {
  BackendStandin& backend = AddBackend("e-1");
  Configure(1, DefaultCustomers());
  EntryInstance& instance = AddInstance();
  instance.WaitUntilReady();
  backend.SetMode(BackendMode::kHold);
  // A request in progress, which keeps the process running after the signal.
  support::HttpClient held(instance.caller_address());
  held.Send(MakeRequest("POST", "/book/x"));
  BOOST_TEST(
      WaitUntil([&] { return backend.ExecutedRequests().size() == 1U; }));
  instance.process().Signal(SIGTERM);
  BOOST_TEST(WaitUntil([&] { return !instance.IsReady(); }));
  // New connections are served until the instance accepts no more requests.
  int refused = 0;
  BOOST_TEST(WaitUntil([&] {
    try {
      support::HttpClient client(instance.caller_address(),
                                 std::chrono::milliseconds(300));
      client.Send(MakeRequest("POST", "/book/y"));
      const auto response = client.ReadResponse();
      refused += response.status == 503 ? 1 : 0;
      return refused > 0;
    } catch (const std::runtime_error&) {
      // The listener is closed.
      return true;
    }
  }));
  const std::size_t ran = backend.ExecutedRequests().size();
  backend.SetMode(BackendMode::kAnswer);
  BOOST_TEST(held.ReadResponse().status == 200);
  BOOST_TEST(backend.ExecutedRequests().size() == ran);
  BOOST_TEST(instance.process().Wait() == 0);
}

// Callers of an instance whose requests are held by the backend server.
class HeldCallers {
 public:
  explicit HeldCallers(const EntryInstance& instance) : instance_(instance) {}

  // Sends a request on a new connection. Throws std::runtime_error if the
  // instance accepts none.
  void Call(const std::string& target) {
    const support::ClientRequest request = MakeRequest("POST", target);
    callers_.emplace_back(instance_.caller_address());
    callers_.back().Send(request);
    for (const auto& [name, value] : request.headers) {
      if (name == "X-Bamboomount-Request-Id")
        ids_.push_back(value);
    }
  }
  // Calls again and again until the instance accepts no connections.
  bool CallUntilClosed() {
    static constexpr std::chrono::milliseconds kPause{50};
    return WaitUntil([this] {
      try {
        Call("/book/y");
        std::this_thread::sleep_for(kPause);
        return false;
      } catch (const std::runtime_error&) {
        return true;
      }
    });
  }
  // Checks the answers: 504 to each request in `ran`, and to no other one.
  void CheckAnswers(const std::set<std::string>& ran) {
    for (std::size_t i = 0; i < callers_.size(); ++i) {
      const auto response = callers_[i].ReadResponse();
      BOOST_TEST(response.complete == (response.status != 0));
      // A 503 says that the request did not run.
      if (ran.contains(ids_[i]))
        BOOST_TEST(response.status == 504);
      else
        BOOST_TEST((response.status == 503 || response.status == 0));
    }
  }

 private:
  const EntryInstance& instance_;
  std::vector<support::HttpClient> callers_;
  std::vector<std::string> ids_;
};

// Guards against requests that are taken late in a graceful shutdown, passed
// on, and cut without an answer when the process ends, among them bookings that
// may have run. One of the stop deadlines is shorter than the time in which
// requests were taken.
BOOST_AUTO_TEST_CASE(no_request_is_cut_at_the_end_of_a_graceful_shutdown) {
  BackendStandin& backend = AddBackend("e-1");
  Configure(1, DefaultCustomers());
  for (const int stop_deadline_s : {3, 8}) {
    BOOST_TEST_CONTEXT("deadline of " << stop_deadline_s << " s") {
      backend.SetMode(BackendMode::kHold);
      EntryInstance& instance =
          AddInstance("i-" + std::to_string(stop_deadline_s),
                      {{"stop_deadline_s", stop_deadline_s}});
      instance.WaitUntilReady();
      const std::size_t ran_before = backend.ExecutedRequests().size();
      HeldCallers callers(instance);
      callers.Call("/book/x");
      callers.Call("/talk/stream");
      BOOST_TEST(WaitUntil(
          [&] { return backend.ExecutedRequests().size() == ran_before + 2; }));
      instance.process().Signal(SIGTERM);
      BOOST_TEST(callers.CallUntilClosed());
      BOOST_TEST(instance.process().Wait() == 0);
      std::set<std::string> ran;
      for (const auto& request : backend.ExecutedRequests())
        ran.insert(request.header("X-Bamboomount-Request-Id"));
      callers.CheckAnswers(ran);
    }
  }
}

// Guards against requests that are cut off without an answer because their
// connections are still in the backlog of the listener when it is closed, as
// under load or after a pause of the process.
BOOST_AUTO_TEST_CASE(requests_in_the_backlog_at_a_stop_are_answered) {
  constexpr int kCallers = 20;
  // Longer than callers are accepted after the signal.
  constexpr std::chrono::seconds kPause{3};
  AddBackend("e-1");
  Configure(1, DefaultCustomers());
  EntryInstance& instance = AddInstance();
  instance.WaitUntilReady();
  instance.process().Signal(SIGTERM);
  BOOST_TEST(WaitUntil([&] { return !instance.IsReady(); }));
  instance.process().Signal(SIGSTOP);
  std::vector<support::HttpClient> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back(instance.caller_address());
    callers.back().Send(MakeRequest("GET", "/lookup/x"));
  }
  const auto paused = std::chrono::steady_clock::now();
  BOOST_TEST(WaitUntil(
      [&] { return std::chrono::steady_clock::now() - paused > kPause; }));
  instance.process().Signal(SIGCONT);
  for (support::HttpClient& caller : callers)
    BOOST_TEST(caller.ReadResponse().status == 503);
  BOOST_TEST(instance.process().Wait() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount::entry_test
