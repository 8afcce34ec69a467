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
const EngineAdmissionRequest kAdmission{Tier(2), false, Millis(60000)};

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
// prefer the same server for a prefix_id.
BOOST_AUTO_TEST_CASE(instances_choose_the_same_server_for_a_shared_prefix) {
  const auto servers = MakeServers(9);
  const BackendLoads loads;
  std::set<BackendId> used;
  for (std::uint64_t prefix_id = 100; prefix_id < 130; ++prefix_id) {
    const ServerHealth health;
    const PrefillThroughput throughput;
    BackendSelector first(loads, health, throughput);
    BackendSelector other(loads, health, throughput);
    const auto prompt = Prompt(prefix_id, prefix_id + 1000);
    const PlacementRequest request{prompt, &kEngine, kAdmission, kLocalZone,
                                   Pointers(servers)};
    const BackendId chosen =
        first.Choose(Pointers(servers), request, At(0))->id;
    BOOST_TEST(chosen == other.Choose(Pointers(servers), request, At(0))->id);
    used.insert(chosen);
  }
  BOOST_TEST(used.size() >= 7U);
}

// Guards against a hot prefix_id that overloads its server while others idle.
BOOST_AUTO_TEST_CASE(a_hot_prefix_spills_over_when_its_home_is_overloaded) {
  const auto servers = MakeServers(9);
  BackendLoads loads;
  ServerHealth health;
  const PrefillThroughput throughput;
  BackendSelector selector(loads, health, throughput);
  std::map<BackendId, int> sent;
  for (int i = 0; i < 60; ++i) {
    const auto prompt = Prompt(7, 1000 + static_cast<std::uint64_t>(i));
    const BackendServer* server = selector.Choose(
        Pointers(servers),
        {prompt, &kEngine, kAdmission, kLocalZone, Pointers(servers)}, At(0));
    loads.AddRequest(server->id, {Tokens(2700), false, false});
    selector.RecordPrefixSent(*server, prompt, At(0));
    ++sent[server->id];
  }
  BOOST_TEST(sent.size() >= 3U);
  for (const auto& [server, count] : sent)
    BOOST_TEST(count <= 40);
}

// Pattern: a burst of first class. Guards against subjects that are read by
// ever more engines once all are loaded: the order of a prefix_id holds as long
// as its home is not loaded more than others.
BOOST_AUTO_TEST_CASE(an_overloaded_pool_does_not_scatter_prefixes) {
  const auto servers = MakeServers(12, 64);
  BackendLoads loads;
  ServerHealth health;
  const PrefillThroughput throughput;
  BackendSelector selector(loads, health, throughput);
  std::map<std::uint64_t, std::set<BackendId>> engines_by_prefix;
  for (std::uint64_t i = 0; i < 600; ++i) {
    const std::uint64_t prefix_id = 100 + i % 60;
    const auto prompt = Prompt(prefix_id, 1000 + i);
    const BackendServer* server = selector.Choose(
        Pointers(servers),
        {prompt, &kEngine, kAdmission, kLocalZone, Pointers(servers)}, At(0));
    loads.AddRequest(server->id, {Tokens(2700), false, false});
    engines_by_prefix[prefix_id].insert(server->id);
  }
  std::size_t prefill_count = 0;
  for (const auto& [prefix_id, engines] : engines_by_prefix)
    prefill_count += engines.size();
  // Ten requests a prefix_id: by load alone, nearly each goes to another
  // engine.
  BOOST_TEST(prefill_count <= 3 * engines_by_prefix.size());
}

// Pattern: a hot prefix_id. Guards against engines that read shared parts which
// another engine could hand over.
BOOST_AUTO_TEST_CASE(an_engine_other_than_the_home_copies_the_shared_prefix) {
  const auto servers = MakeServers(9);
  const EngineTraits engine = CopyingEngine();
  BOOST_TEST(engine.CopiesPrefixes());
  BOOST_TEST(!kEngine.CopiesPrefixes());
  BackendLoads loads;
  ServerHealth health;
  const PrefillThroughput throughput;
  BackendSelector selector(loads, health, throughput);
  const auto prompt = Prompt(7, 1);
  const PlacementRequest request{prompt, &engine, kAdmission, kLocalZone,
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
  BOOST_TEST(plan.prefill_tokens.value() == 2700);
  // A home that fails could keep the request waiting.
  health.RecordFailure(home->id, ServerFailure::kNoResponse, At(0));
  BOOST_TEST(selector.PlanPrefix(*other, request, At(0)).copy_from != home);
  // Engines that do not copy read all of it.
  const PlacementRequest request_without_copying{prompt, &kEngine, kAdmission,
                                                 kLocalZone, Pointers(servers)};
  BOOST_TEST(selector.PlanPrefix(*other, request_without_copying, At(0))
                 .prefill_tokens.value() == 9000);
}

// Pattern: long prompts beside live conversations. Guards against conversations
// whose tokens wait while the engine reads other prompts.
BOOST_AUTO_TEST_CASE(long_prompts_avoid_engines_with_conversations) {
  auto servers = MakeServers(9);
  for (BackendServer& server : servers)
    server.slots = 64;
  BackendLoads loads;
  ServerHealth health;
  const PrefillThroughput throughput;
  BackendSelector selector(loads, health, throughput);
  std::set<BackendId> conversations;
  std::set<BackendId> prompts;
  for (int i = 0; i < 60; ++i) {
    const bool conversation = i % 3 == 0;
    const auto prompt = conversation
                            ? Conversation()
                            : Prompt(100 + static_cast<std::uint64_t>(i), 9);
    const BackendServer* server = selector.Choose(
        Pointers(servers),
        {prompt, &kEngine, kAdmission, kLocalZone, Pointers(servers)}, At(i));
    loads.AddRequest(server->id,
                     {Tokens(conversation ? 0 : 500), conversation, false});
    (conversation ? conversations : prompts).insert(server->id);
  }
  for (const BackendId& server : conversations)
    BOOST_TEST(!prompts.contains(server));
  BOOST_TEST(conversations.size() <= 3U);
}

// Guards against reserved engines that idle while prompts wait elsewhere.
BOOST_AUTO_TEST_CASE(long_prompts_use_reserved_engines_when_others_are_full) {
  const auto servers = MakeServers(6);
  BackendLoads loads;
  ServerHealth health;
  const PrefillThroughput throughput;
  BackendSelector selector(loads, health, throughput);
  std::set<BackendId> used;
  for (int i = 0; i < 60; ++i) {
    const auto prompt = Prompt(100 + static_cast<std::uint64_t>(i), 9);
    const BackendServer* server = selector.Choose(
        Pointers(servers),
        {prompt, &kEngine, kAdmission, kLocalZone, Pointers(servers)}, At(i));
    loads.AddRequest(server->id, {Tokens(9000), false, false});
    used.insert(server->id);
  }
  BOOST_TEST(used.size() == 6U);
}

// Guards against work for a server that answers nobody.
BOOST_AUTO_TEST_CASE(a_failing_server_is_ejected_and_readmitted) {
  const auto servers = MakeServers(2);
  BackendLoads loads;
  ServerHealth health;
  const PrefillThroughput throughput;
  BackendSelector selector(loads, health, throughput);
  const PromptShape prompt;
  for (int i = 0; i < 3; ++i)
    health.RecordFailure(BackendId("e-0"), ServerFailure::kNoResponse, At(0));
  const PlacementRequest request{prompt, nullptr, kAdmission, kLocalZone, {}};
  BOOST_TEST(selector.Choose(Pointers(servers), request, At(1))->id ==
             BackendId("e-1"));
  BOOST_TEST(!health.IsEjected(BackendId("e-0"), At(60000)));
}

// Guards against a pool that the reports of others empty.
BOOST_AUTO_TEST_CASE(peer_ejections_exclude_at_most_half_of_the_pool) {
  const auto servers = MakeServers(4);
  BackendLoads loads;
  ServerHealth health;
  const PrefillThroughput throughput;
  BackendSelector selector(loads, health, throughput);
  const PromptShape prompt;
  const PlacementRequest request{prompt, nullptr, kAdmission, kLocalZone, {}};
  const auto report = [&](int count) {
    std::vector<EjectedServer> ejected;
    ejected.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
      ejected.push_back({BackendId("e-" + std::to_string(i)), Millis(1000)});
    for (const char* name : {"a", "b"})
      health.SetRemoteEjections(InstanceId(name), ejected, At(0));
  };
  report(1);
  BOOST_TEST(selector.Choose(Pointers(servers), request, At(1))->id !=
             BackendId("e-0"));
  report(3);
  BOOST_TEST(selector.Choose(Pointers(servers), request, At(1))->id ==
             BackendId("e-0"));
}

// Pattern: a burst of conversations on engines with few slots. Guards against
// conversations that wait for a slot of a reserved engine while others have
// some.
BOOST_AUTO_TEST_CASE(conversations_spill_over_when_reserved_slots_are_taken) {
  const auto servers = MakeServers(9, 4);
  BackendLoads loads;
  ServerHealth health;
  const PrefillThroughput throughput;
  BackendSelector selector(loads, health, throughput);
  std::map<BackendId, int> sent;
  for (int i = 0; i < 30; ++i) {
    const auto prompt = Conversation();
    const BackendServer* server = selector.Choose(
        Pointers(servers),
        {prompt, &kEngine, kAdmission, kLocalZone, Pointers(servers)}, At(i));
    loads.AddRequest(server->id, {Tokens(0), true, true});
    ++sent[server->id];
  }
  for (const auto& [server, count] : sent)
    BOOST_TEST(count <= 5);
}

// Guards against prompts that stall conversations when all other engines are
// full.
BOOST_AUTO_TEST_CASE(prompts_are_rejected_rather_than_stall_conversations) {
  const auto servers = MakeServers(3);
  BackendLoads loads;
  ServerHealth health;
  const PrefillThroughput throughput;
  BackendSelector selector(loads, health, throughput);
  const auto conversation = Conversation();
  const BackendServer* reserved = selector.Choose(
      Pointers(servers),
      {conversation, &kEngine, kAdmission, kLocalZone, Pointers(servers)},
      At(0));
  loads.AddRequest(reserved->id, {Tokens(0), true, true});
  const EngineAdmissionRequest short_target{Tier(2), false, Millis(1000)};
  const BackendServer* chosen = nullptr;
  for (std::uint64_t i = 0; i < 40; ++i) {
    const auto prompt = Prompt(100 + i, 9);
    chosen = selector.Choose(
        Pointers(servers),
        {prompt, &kEngine, short_target, kLocalZone, Pointers(servers)},
        At(1000));
    if (!chosen)
      break;
    BOOST_TEST(chosen != reserved);
    loads.AddRequest(chosen->id, {Tokens(9000), false, false});
  }
  BOOST_TEST(!chosen);
}

// Guards against an empty pool when a fault on this side makes all servers look
// bad.
BOOST_AUTO_TEST_CASE(a_server_is_chosen_even_if_all_are_ejected) {
  const auto servers = MakeServers(2);
  BackendLoads loads;
  ServerHealth health;
  const PrefillThroughput throughput;
  BackendSelector selector(loads, health, throughput);
  const PromptShape prompt;
  for (int i = 0; i < 5; ++i) {
    health.RecordFailure(BackendId("e-0"), ServerFailure::kNoResponse, At(0));
    health.RecordFailure(BackendId("e-1"), ServerFailure::kNoResponse, At(0));
  }
  BOOST_TEST(selector.Choose(
      Pointers(servers), {prompt, nullptr, kAdmission, kLocalZone, {}}, At(1)));
  BOOST_TEST(!selector.Choose({}, {prompt, nullptr, kAdmission, kLocalZone, {}},
                              At(1)));
}

// Guards against loads of a failed instance that stay for ever.
BOOST_AUTO_TEST_CASE(remote_loads_of_failed_instances_are_removed) {
  BackendLoads loads;
  loads.SetRemoteLoads(InstanceId("x"), {{BackendId("e"), {5, 1000, 0, 2, 0}}});
  loads.SetRemoteLoads(InstanceId("x"), {{BackendId("e"), {7, 3000, 0, 2, 0}}});
  BOOST_TEST(loads.Total(BackendId("e")).requests == 7);
  loads.RetainRemoteLoads({});
  BOOST_TEST(loads.Total(BackendId("e")).requests == 0);
  BOOST_TEST(loads.Total(BackendId("e")).pending_prefill_tokens == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
