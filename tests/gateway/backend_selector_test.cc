#include "gateway/placement/backend_selector.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <set>
#include <vector>

#include "instants.h"
#include "placement_fixture.h"

namespace bamboomount {
namespace {

const EngineTraits kEngine;
// A patient request.
const RoomRequest kRoom{Tier(2), false, Millis(60000)};

// An engine that copies shared parts from others much sooner than it reads
// them.
EngineTraits CopyingEngine() {
  EngineTraits engine;
  engine.cache_bytes_per_token = 35000;
  engine.link_mbits_per_s = 1e6;
  return engine;
}

BOOST_AUTO_TEST_SUITE(backend_selector)

// Guards against a shared part that is read again by each instance: all of them
// prefer the same server for a subject.
BOOST_AUTO_TEST_CASE(instances_agree_on_the_server_of_a_subject) {
  const auto servers = MakeServers(9);
  const BackendLoads loads;
  std::set<BackendId> used;
  for (std::uint64_t subject = 100; subject < 130; ++subject) {
    const ServerHealth health;
    const ReadSpeed speed;
    BackendSelector one(loads, health, speed);
    BackendSelector other(loads, health, speed);
    const auto prompt = Prompt(subject, subject + 1000);
    const PlacementRequest request{prompt, &kEngine, kRoom, kHere,
                                   Pointers(servers)};
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
  ServerHealth health;
  const ReadSpeed speed;
  BackendSelector selector(loads, health, speed);
  std::map<BackendId, int> sent;
  for (int i = 0; i < 60; ++i) {
    const auto prompt = Prompt(7, 1000 + static_cast<std::uint64_t>(i));
    const BackendServer* server = selector.Choose(
        Pointers(servers), {prompt, &kEngine, kRoom, kHere, Pointers(servers)},
        At(0));
    loads.AddRequest(server->id, {Tokens(2700), false, false});
    selector.NoteRead(*server, prompt, At(0));
    ++sent[server->id];
  }
  BOOST_TEST(sent.size() >= 3U);
  for (const auto& [server, count] : sent)
    BOOST_TEST(count <= 40);
}

// Pattern: a burst of one class. Guards against subjects that are read by ever
// more engines once all are loaded: the order of a subject holds as long as its
// home is not loaded more than others.
BOOST_AUTO_TEST_CASE(an_overload_of_all_does_not_scatter_the_subjects) {
  const auto servers = MakeServers(12, 64);
  BackendLoads loads;
  ServerHealth health;
  const ReadSpeed speed;
  BackendSelector selector(loads, health, speed);
  std::map<std::uint64_t, std::set<BackendId>> readers;
  for (std::uint64_t i = 0; i < 600; ++i) {
    const std::uint64_t subject = 100 + i % 60;
    const auto prompt = Prompt(subject, 1000 + i);
    const BackendServer* server = selector.Choose(
        Pointers(servers), {prompt, &kEngine, kRoom, kHere, Pointers(servers)},
        At(0));
    loads.AddRequest(server->id, {Tokens(2700), false, false});
    readers[subject].insert(server->id);
  }
  std::size_t reads = 0;
  for (const auto& [subject, engines] : readers)
    reads += engines.size();
  // Ten requests a subject: by load alone, nearly each goes to another engine.
  BOOST_TEST(reads <= 3 * readers.size());
}

// Pattern: a hot subject. Guards against engines that read shared parts which
// another engine could hand over.
BOOST_AUTO_TEST_CASE(an_engine_away_from_home_copies_the_shared_parts) {
  const auto servers = MakeServers(9);
  const EngineTraits engine = CopyingEngine();
  BOOST_TEST(engine.CopiesPrefixes());
  BOOST_TEST(!kEngine.CopiesPrefixes());
  BackendLoads loads;
  ServerHealth health;
  const ReadSpeed speed;
  BackendSelector selector(loads, health, speed);
  const auto prompt = Prompt(7, 1);
  const PlacementRequest request{prompt, &engine, kRoom, kHere,
                                 Pointers(servers)};
  const BackendServer* home =
      selector.Choose(Pointers(servers), request, At(0));
  BOOST_TEST(!selector.PlanPrefix(*home, request, At(0)).copy_from);
  loads.AddRequest(home->id, {Tokens(50000), false, false});
  const BackendServer* other =
      selector.Choose(Pointers(servers), request, At(0));
  BOOST_TEST(other != home);
  const PrefixPlan plan = selector.PlanPrefix(*other, request, At(0));
  BOOST_TEST(plan.copy_from == home);
  BOOST_TEST(plan.unread.value() == 2700);
  // A home that fails could keep the request waiting.
  health.NoteFailure(home->id, ServerFailure::kNoAnswer, At(0));
  BOOST_TEST(selector.PlanPrefix(*other, request, At(0)).copy_from != home);
  // Engines that do not copy read all of it.
  const PlacementRequest reading{prompt, &kEngine, kRoom, kHere,
                                 Pointers(servers)};
  BOOST_TEST(selector.PlanPrefix(*other, reading, At(0)).unread.value() ==
             9000);
}

// Pattern: long prompts beside live conversations. Guards against conversations
// whose tokens wait while the engine reads other prompts.
BOOST_AUTO_TEST_CASE(long_prompts_stay_away_from_conversations) {
  auto servers = MakeServers(9);
  for (BackendServer& server : servers)
    server.slots = 64;
  BackendLoads loads;
  ServerHealth health;
  const ReadSpeed speed;
  BackendSelector selector(loads, health, speed);
  std::set<BackendId> conversations;
  std::set<BackendId> prompts;
  for (int i = 0; i < 60; ++i) {
    const bool talk = i % 3 == 0;
    const auto prompt =
        talk ? Conversation() : Prompt(100 + static_cast<std::uint64_t>(i), 9);
    const BackendServer* server = selector.Choose(
        Pointers(servers), {prompt, &kEngine, kRoom, kHere, Pointers(servers)},
        At(i));
    loads.AddRequest(server->id, {Tokens(talk ? 0 : 500), talk, false});
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
  ServerHealth health;
  const ReadSpeed speed;
  BackendSelector selector(loads, health, speed);
  std::set<BackendId> used;
  for (int i = 0; i < 60; ++i) {
    const auto prompt = Prompt(100 + static_cast<std::uint64_t>(i), 9);
    const BackendServer* server = selector.Choose(
        Pointers(servers), {prompt, &kEngine, kRoom, kHere, Pointers(servers)},
        At(i));
    loads.AddRequest(server->id, {Tokens(9000), false, false});
    used.insert(server->id);
  }
  BOOST_TEST(used.size() == 6U);
}

// Guards against work for a server that answers nobody.
BOOST_AUTO_TEST_CASE(a_failing_server_is_left_out_and_comes_back) {
  const auto servers = MakeServers(2);
  BackendLoads loads;
  ServerHealth health;
  const ReadSpeed speed;
  BackendSelector selector(loads, health, speed);
  const PromptShape prompt;
  for (int i = 0; i < 3; ++i)
    health.NoteFailure(BackendId("e-0"), ServerFailure::kNoAnswer, At(0));
  const PlacementRequest request{prompt, nullptr, kRoom, kHere, {}};
  BOOST_TEST(selector.Choose(Pointers(servers), request, At(1))->id ==
             BackendId("e-1"));
  BOOST_TEST(!health.IsEjected(BackendId("e-0"), At(60000)));
}

// Guards against a pool that the reports of others empty.
BOOST_AUTO_TEST_CASE(reports_of_others_leave_out_half_of_the_pool_at_most) {
  const auto servers = MakeServers(4);
  BackendLoads loads;
  ServerHealth health;
  const ReadSpeed speed;
  BackendSelector selector(loads, health, speed);
  const PromptShape prompt;
  const PlacementRequest request{prompt, nullptr, kRoom, kHere, {}};
  const auto report = [&](int count) {
    std::vector<EjectedServer> ejected;
    ejected.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
      ejected.push_back({BackendId("e-" + std::to_string(i)), Millis(1000)});
    for (const char* name : {"a", "b"})
      health.NoteReport(InstanceId(name), ejected, At(0));
  };
  report(1);
  BOOST_TEST(selector.Choose(Pointers(servers), request, At(1))->id !=
             BackendId("e-0"));
  report(3);
  BOOST_TEST(selector.Choose(Pointers(servers), request, At(1))->id ==
             BackendId("e-0"));
}

// Pattern: a burst of conversations on engines with few slots. Guards against
// conversations that wait for a slot of a quiet engine while others have some.
BOOST_AUTO_TEST_CASE(conversations_go_elsewhere_once_slots_are_taken) {
  const auto servers = MakeServers(9, 4);
  BackendLoads loads;
  ServerHealth health;
  const ReadSpeed speed;
  BackendSelector selector(loads, health, speed);
  std::map<BackendId, int> sent;
  for (int i = 0; i < 30; ++i) {
    const auto prompt = Conversation();
    const BackendServer* server = selector.Choose(
        Pointers(servers), {prompt, &kEngine, kRoom, kHere, Pointers(servers)},
        At(i));
    loads.AddRequest(server->id, {Tokens(0), true, true});
    ++sent[server->id];
  }
  for (const auto& [server, count] : sent)
    BOOST_TEST(count <= 5);
}

// Guards against prompts that stall conversations when all other engines are
// full.
BOOST_AUTO_TEST_CASE(full_engines_do_not_send_prompts_to_conversations) {
  const auto servers = MakeServers(3);
  BackendLoads loads;
  ServerHealth health;
  const ReadSpeed speed;
  BackendSelector selector(loads, health, speed);
  const auto talk = Conversation();
  const BackendServer* quiet =
      selector.Choose(Pointers(servers),
                      {talk, &kEngine, kRoom, kHere, Pointers(servers)}, At(0));
  loads.AddRequest(quiet->id, {Tokens(0), true, true});
  const RoomRequest hurried{Tier(2), false, Millis(1000)};
  const BackendServer* last = nullptr;
  for (std::uint64_t i = 0; i < 40; ++i) {
    const auto prompt = Prompt(100 + i, 9);
    last = selector.Choose(
        Pointers(servers),
        {prompt, &kEngine, hurried, kHere, Pointers(servers)}, At(1000));
    if (!last)
      break;
    BOOST_TEST(last != quiet);
    loads.AddRequest(last->id, {Tokens(9000), false, false});
  }
  BOOST_TEST(!last);
}

// Guards against an empty pool when a fault on this side makes all servers look
// bad.
BOOST_AUTO_TEST_CASE(if_all_are_left_out_one_is_chosen_all_the_same) {
  const auto servers = MakeServers(2);
  BackendLoads loads;
  ServerHealth health;
  const ReadSpeed speed;
  BackendSelector selector(loads, health, speed);
  const PromptShape prompt;
  for (int i = 0; i < 5; ++i) {
    health.NoteFailure(BackendId("e-0"), ServerFailure::kNoAnswer, At(0));
    health.NoteFailure(BackendId("e-1"), ServerFailure::kNoAnswer, At(0));
  }
  BOOST_TEST(selector.Choose(Pointers(servers),
                             {prompt, nullptr, kRoom, kHere, {}}, At(1)));
  BOOST_TEST(!selector.Choose({}, {prompt, nullptr, kRoom, kHere, {}}, At(1)));
}

// Guards against loads of a failed instance that stay for ever.
BOOST_AUTO_TEST_CASE(what_a_failed_instance_told_is_dropped) {
  BackendLoads loads;
  loads.SetRemote(InstanceId("x"), {{BackendId("e"), {5, 1000, 0, 2, 0}}});
  loads.SetRemote(InstanceId("x"), {{BackendId("e"), {7, 3000, 0, 2, 0}}});
  BOOST_TEST(loads.Total(BackendId("e")).requests == 7);
  loads.KeepRemotes({});
  BOOST_TEST(loads.Total(BackendId("e")).requests == 0);
  BOOST_TEST(loads.Total(BackendId("e")).unread_tokens == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
