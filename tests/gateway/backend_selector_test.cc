#include "gateway/placement/backend_selector.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <set>
#include <vector>

#include "instants.h"

namespace bamboomount {
namespace {

const ZoneId kHere("here");

std::vector<BackendServer> MakeServers(int count) {
  std::vector<BackendServer> servers;
  for (int i = 0; i < count; ++i) {
    BackendServer server;
    server.id = BackendId("e-" + std::to_string(i));
    server.zone = kHere;
    servers.push_back(server);
  }
  return servers;
}

std::vector<const BackendServer*> Pointers(
    const std::vector<BackendServer>& servers) {
  std::vector<const BackendServer*> pointers;
  pointers.reserve(servers.size());
  for (const BackendServer& server : servers)
    pointers.push_back(&server);
  return pointers;
}

PromptShape Prompt(std::uint64_t subject, std::uint64_t own) {
  return {Tokens(9000),
          Tokens(50),
          {{1, Tokens(2500)}, {subject, Tokens(3800)}, {own, Tokens(2700)}}};
}

BOOST_AUTO_TEST_SUITE(backend_selector)

// Guards against a shared part that is read again by each instance: all of them
// prefer the same server for a subject.
BOOST_AUTO_TEST_CASE(instances_agree_on_the_server_of_a_subject) {
  const auto servers = MakeServers(9);
  const BackendLoads loads;
  std::set<BackendId> used;
  for (std::uint64_t subject = 100; subject < 130; ++subject) {
    BackendSelector one(loads);
    BackendSelector other(loads);
    const auto prompt = Prompt(subject, subject + 1000);
    const PlacementRequest request{prompt, true, kHere, Pointers(servers)};
    const BackendId chosen = one.Choose(Pointers(servers), request, At(0))->id;
    BOOST_TEST(chosen == other.Choose(Pointers(servers), request, At(0))->id);
    used.insert(chosen);
  }
  BOOST_TEST(used.size() >= 7U);
}

// Guards against a hot subject that overloads its server while others idle.
BOOST_AUTO_TEST_CASE(a_hot_subject_spills_over_once_waiting_costs_more) {
  const auto servers = MakeServers(9);
  BackendLoads loads;
  BackendSelector selector(loads);
  std::map<BackendId, int> sent;
  for (int i = 0; i < 60; ++i) {
    const auto prompt = Prompt(7, 1000 + static_cast<std::uint64_t>(i));
    const BackendServer* server = selector.Choose(
        Pointers(servers), {prompt, true, kHere, Pointers(servers)}, At(0));
    loads.AddRequest(server->id, {Tokens(2700), false});
    selector.NoteRead(*server, prompt, At(0));
    ++sent[server->id];
  }
  BOOST_TEST(sent.size() >= 3U);
  for (const auto& [server, count] : sent)
    BOOST_TEST(count <= 40);
}

PromptShape Conversation() {
  return {Tokens(700), Tokens(280), {{2, Tokens(170)}, {3, Tokens(530)}}};
}

// Pattern: long prompts beside live conversations. Guards against conversations
// whose tokens wait while the engine reads other prompts.
BOOST_AUTO_TEST_CASE(long_prompts_stay_away_from_conversations) {
  auto servers = MakeServers(9);
  for (BackendServer& server : servers)
    server.slots = 64;
  BackendLoads loads;
  BackendSelector selector(loads);
  std::set<BackendId> conversations;
  std::set<BackendId> prompts;
  for (int i = 0; i < 60; ++i) {
    const bool talk = i % 3 == 0;
    const auto prompt =
        talk ? Conversation() : Prompt(100 + static_cast<std::uint64_t>(i), 9);
    const BackendServer* server = selector.Choose(
        Pointers(servers), {prompt, true, kHere, Pointers(servers)}, At(i));
    loads.AddRequest(server->id, {Tokens(talk ? 0 : 500), talk});
    (talk ? conversations : prompts).insert(server->id);
  }
  for (const BackendId& server : conversations)
    BOOST_TEST(!prompts.contains(server));
  BOOST_TEST(conversations.size() <= 3U);
}

// Guards against quiet engines that idle while prompts wait elsewhere.
BOOST_AUTO_TEST_CASE(long_prompts_use_quiet_engines_when_others_are_full) {
  const auto servers = MakeServers(6);
  BackendLoads loads;
  BackendSelector selector(loads);
  std::set<BackendId> used;
  for (int i = 0; i < 60; ++i) {
    const auto prompt = Prompt(100 + static_cast<std::uint64_t>(i), 9);
    const BackendServer* server = selector.Choose(
        Pointers(servers), {prompt, true, kHere, Pointers(servers)}, At(i));
    loads.AddRequest(server->id, {Tokens(9000), false});
    used.insert(server->id);
  }
  BOOST_TEST(used.size() == 6U);
}

// Guards against work for a server that answers nobody.
BOOST_AUTO_TEST_CASE(a_failing_server_is_left_out_and_comes_back) {
  const auto servers = MakeServers(2);
  BackendLoads loads;
  BackendSelector selector(loads);
  const PromptShape prompt;
  for (int i = 0; i < 3; ++i)
    loads.NoteFailure(BackendId("e-0"), At(0));
  const PlacementRequest request{prompt, false, kHere, {}};
  BOOST_TEST(selector.Choose(Pointers(servers), request, At(1))->id ==
             BackendId("e-1"));
  BOOST_TEST(!loads.IsEjected(BackendId("e-0"), At(60000)));
}

// Guards against an empty pool when a fault on this side makes all servers look
// bad.
BOOST_AUTO_TEST_CASE(if_all_are_left_out_one_is_chosen_all_the_same) {
  const auto servers = MakeServers(2);
  BackendLoads loads;
  BackendSelector selector(loads);
  const PromptShape prompt;
  for (int i = 0; i < 5; ++i) {
    loads.NoteFailure(BackendId("e-0"), At(0));
    loads.NoteFailure(BackendId("e-1"), At(0));
  }
  BOOST_TEST(
      selector.Choose(Pointers(servers), {prompt, false, kHere, {}}, At(1)));
  BOOST_TEST(!selector.Choose({}, {prompt, false, kHere, {}}, At(1)));
}

// Guards against loads of a failed instance that stay for ever.
BOOST_AUTO_TEST_CASE(what_a_failed_instance_told_is_dropped) {
  BackendLoads loads;
  loads.SetRemote(InstanceId("x"), {{BackendId("e"), {5, 1000, 2, 0}}});
  loads.SetRemote(InstanceId("x"), {{BackendId("e"), {7, 3000, 2, 0}}});
  BOOST_TEST(loads.Total(BackendId("e")).requests == 7);
  loads.KeepRemotes({});
  BOOST_TEST(loads.Total(BackendId("e")).requests == 0);
  BOOST_TEST(loads.Total(BackendId("e")).unread_tokens == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
