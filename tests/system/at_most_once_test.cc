#include <boost/test/unit_test.hpp>
#include <csignal>
#include <future>

#include "support/chat_client.h"
#include "support/wait_until.h"
#include "system/fleet_options.h"

namespace bamboomount::support {
namespace {

ClientRequest RegistrationRequest(const Fleet& fleet,
                                  const std::string& idempotency_key,
                                  const std::string& body) {
  return {"POST",
          Fleet::kRegistration,
          {{"Authorization", "Bearer " + fleet.key()},
           {"Idempotency-Key", idempotency_key},
           {"Content-Type", "application/json"}},
          body};
}

std::string RanField(const ClientResponse& answer) {
  return ErrorMember(answer.body, "ran");
}

std::string CodeField(const ClientResponse& answer) {
  return ErrorMember(answer.body, "code");
}

int CountExecutions(Fleet& fleet, const std::string& body) {
  int count = 0;
  for (const auto& execution : fleet.ExecutedRequests())
    count += execution.at("body") == body ? 1 : 0;
  return count;
}

// Whether the platform's store holds exactly `count` claims.
bool StoreHasClaims(Fleet& fleet, std::size_t count) {
  const ClientResponse answer = CallOnce(
      fleet.platform_address(), {"GET", "/table/scan?prefix=claim/", {}, ""});
  const auto json = nlohmann::json::parse(answer.body, nullptr, false);
  return json.is_object() && json.at("rows").size() == count;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(at_most_once)

// Guards against duplicate runs of a call that a caller sends to two routers at
// the same time.
BOOST_AUTO_TEST_CASE(concurrent_calls_to_two_routers_run_once) {
  Fleet fleet(TestFleetOptions(1, 2, 2));
  constexpr int kRounds = 20;
  for (int round = 0; round < kRounds; ++round) {
    const std::string body = "team " + std::to_string(round);
    constexpr int kCopies = 4;
    std::vector<std::future<ClientResponse>> calls;
    calls.reserve(kCopies);
    for (int copy = 0; copy < kCopies; ++copy) {
      calls.push_back(std::async(std::launch::async, [&fleet, copy, body] {
        return CallOnce(fleet.instance(copy % 2).address,
                        RegistrationRequest(fleet, body, body));
      }));
    }
    int answered = 0;
    for (auto& call : calls) {
      const ClientResponse answer = call.get();
      answered += answer.status == 200 ? 1 : 0;
      const bool is_known = answer.status == 200 || answer.status == 409;
      BOOST_TEST(is_known, answer.status << " " << answer.body);
    }
    BOOST_TEST(answered >= 1);
    BOOST_TEST(CountExecutions(fleet, body) == 1);
  }
}

// Guards against a second run of a call whose response was lost: when the
// caller retries it, every router must report that the outcome is unknown.
BOOST_AUTO_TEST_CASE(a_call_with_a_lost_response_is_not_run_again) {
  Fleet fleet(TestFleetOptions(1, 2, 2));
  for (const std::size_t service : {0U, 1U})
    fleet.service(service).SetFaults(R"({"lose_answer":true})");
  const ClientRequest call = RegistrationRequest(fleet, "key-1", "team");
  const ClientResponse lost = CallOnce(fleet.instance(0).address, call);
  BOOST_TEST(lost.status == 502);
  BOOST_TEST(RanField(lost) == "unknown");
  for (const std::size_t service : {0U, 1U})
    fleet.service(service).SetFaults("{}");
  for (const std::size_t router : {0U, 1U}) {
    const ClientResponse again = CallOnce(fleet.instance(router).address, call);
    BOOST_TEST(again.status == 409);
    BOOST_TEST(CodeField(again) == "may_have_run");
    BOOST_TEST(RanField(again) == "unknown");
  }
  BOOST_TEST(CountExecutions(fleet, "team") == 1);
}

// Guards against a second run when a caller retries a finished call at another
// router. It must get the first response, marked as a replay; the same key with
// another body and a call without a key must be refused.
BOOST_AUTO_TEST_CASE(a_finished_call_is_replayed_without_a_second_run) {
  Fleet fleet(TestFleetOptions(1, 2, 2));
  const ClientRequest call = RegistrationRequest(fleet, "key-1", "team");
  const ClientResponse first = CallOnce(fleet.instance(0).address, call);
  const ClientResponse again = CallOnce(fleet.instance(1).address, call);
  BOOST_TEST(first.status == 200);
  BOOST_TEST(again.status == 200);
  BOOST_TEST(first.body == again.body);
  BOOST_TEST(first.header("Idempotency-Replayed") == "");
  BOOST_TEST(again.header("Idempotency-Replayed") == "true");
  const ClientResponse other =
      CallOnce(fleet.instance(1).address,
               RegistrationRequest(fleet, "key-1", "other team"));
  BOOST_TEST(other.status == 422);
  BOOST_TEST(RanField(other) == "no");
  ClientRequest without = RegistrationRequest(fleet, "", "team");
  std::erase_if(without.headers,
                [](const auto& entry) { return entry.second.empty(); });
  const ClientResponse missing = CallOnce(fleet.instance(0).address, without);
  BOOST_TEST(missing.status == 400);
  BOOST_TEST(RanField(missing) == "no");
  BOOST_TEST(fleet.ExecutedRequests().size() == 1U);
}

// Guards against a wrong verdict about a call that a killed router had claimed.
// The other router cannot know whether the call was sent, so it must neither
// run it nor report that it did not run.
BOOST_AUTO_TEST_CASE(
    a_router_killed_before_sending_leaves_the_outcome_unknown) {
  FleetOptions options = TestFleetOptions(1, 1, 2);
  options.slots = 1;
  Fleet fleet(options);
  fleet.service(0).SetFaults(R"({"delay_ms":30000,"times":1})");
  const std::string& address = fleet.instance(0).address;
  auto holder = std::async(std::launch::async, [&] {
    return CallOnce(address, RegistrationRequest(fleet, "holder", "holder"));
  });
  BOOST_TEST(
      WaitUntil([&] { return !fleet.service(0).ReceivedRequests().empty(); }));
  // The only slot is taken, so this call holds its claim and waits for a slot.
  const ClientRequest call =
      RegistrationRequest(fleet, "waiting", "waiting team");
  auto waiting =
      std::async(std::launch::async, [&] { return CallOnce(address, call); });
  BOOST_TEST(WaitUntil([&] { return StoreHasClaims(fleet, 2); }));
  fleet.instance(0).router->Signal(SIGKILL);
  BOOST_TEST(waiting.get().status == 0);
  BOOST_TEST(holder.get().status == 0);
  const ClientResponse again = CallOnce(fleet.instance(1).address, call);
  BOOST_TEST(again.status == 409);
  BOOST_TEST(RanField(again) == "unknown");
  BOOST_TEST(CountExecutions(fleet, "waiting team") == 0);
}

// Guards against a second run of a call whose router is killed after the
// service executed it and before the response arrives.
BOOST_AUTO_TEST_CASE(a_router_killed_after_sending_causes_no_second_run) {
  Fleet fleet(TestFleetOptions(1, 1, 2));
  fleet.service(0).SetFaults(R"({"late_ms":30000,"times":1})");
  const ClientRequest call = RegistrationRequest(fleet, "key-1", "team");
  auto first = std::async(std::launch::async, [&] {
    return CallOnce(fleet.instance(0).address, call);
  });
  BOOST_TEST(WaitUntil([&] { return CountExecutions(fleet, "team") == 1; }));
  fleet.instance(0).router->Signal(SIGKILL);
  BOOST_TEST(first.get().status == 0);
  const ClientResponse again = CallOnce(fleet.instance(1).address, call);
  BOOST_TEST(again.status == 409);
  BOOST_TEST(RanField(again) == "unknown");
  BOOST_TEST(CountExecutions(fleet, "team") == 1);
}

// Guards against unprotected runs: without the store a second run cannot be
// excluded, so the call must be refused without being sent.
BOOST_AUTO_TEST_CASE(nothing_runs_while_the_store_is_down) {
  Fleet fleet(TestFleetOptions(1, 1, 1));
  fleet.platform().Stop();
  const ClientResponse refused = CallOnce(
      fleet.instance(0).address, RegistrationRequest(fleet, "key-1", "team"));
  fleet.platform().Continue();
  BOOST_TEST(refused.status == 503);
  BOOST_TEST(RanField(refused) == "no");
  BOOST_TEST(fleet.ExecutedRequests().empty());
}

// Guards against a claim that is never released: a call that reached no backend
// server must be allowed to run later.
BOOST_AUTO_TEST_CASE(a_refused_connection_releases_the_claim) {
  Fleet fleet(TestFleetOptions(1, 1, 1));
  fleet.service(0).process().Signal(SIGKILL);
  fleet.service(0).process().Wait();
  const ClientRequest call = RegistrationRequest(fleet, "key-1", "team");
  const ClientResponse refused = CallOnce(fleet.instance(0).address, call);
  BOOST_TEST(refused.status >= 500);
  BOOST_TEST(RanField(refused) == "no");
  BOOST_TEST(WaitUntil([&] { return StoreHasClaims(fleet, 0); }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bamboomount::support
