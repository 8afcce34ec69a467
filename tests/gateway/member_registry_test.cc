#include "gateway/membership/member_registry.h"

#include <boost/test/unit_test.hpp>
#include <set>

#include "instants.h"

namespace bamboomount {
namespace {

Member MakeMember(const std::string& instance, const std::string& zone = "z") {
  Member member;
  member.instance = InstanceId(instance);
  member.incarnation = Incarnation(instance + "-1");
  member.caller_address = instance + ":1";
  member.peer_address = instance + ":2";
  member.zone = ZoneId(zone);
  member.region = RegionId("r");
  return member;
}

void Add(MemberRegistry& registry, const Member& member) {
  registry.Update(member, RowVersion(1), At(0));
}

std::vector<std::string> Addresses(const MemberRegistry& registry,
                                   const std::string& zone,
                                   Instant now = At(0)) {
  return registry.AddressesFor(ZoneId(zone), RegionId("r"), RegionLimit(), 64,
                               now);
}

BOOST_AUTO_TEST_SUITE(member_registry)

// Guards against callers that are sent to other zones without need.
BOOST_AUTO_TEST_CASE(callers_get_the_instances_of_their_zone) {
  MemberRegistry registry;
  Add(registry, MakeMember("a", "near"));
  Add(registry, MakeMember("b", "near"));
  Add(registry, MakeMember("c", "far"));
  BOOST_TEST(Addresses(registry, "near").size() == 2U);
  // With a single address, a caller has no fallback when it fails.
  BOOST_TEST(Addresses(registry, "far").size() == 3U);
}

// Guards against callers that are sent to an instance that is stopping.
BOOST_AUTO_TEST_CASE(leaving_instances_are_not_offered) {
  MemberRegistry registry;
  Add(registry, MakeMember("a"));
  Add(registry, MakeMember("b"));
  Member leaving = MakeMember("c");
  leaving.leaving = true;
  Add(registry, leaving);
  BOOST_TEST(Addresses(registry, "z").size() == 2U);
}

// Guards against callers that are sent to an instance whose heartbeat has timed
// out but whose row still exists, and to one that never sent a heartbeat.
// Callers were once given the address of an instance that was down for 12 s.
BOOST_AUTO_TEST_CASE(a_silent_instance_is_not_offered_unless_most_are_silent) {
  MemberRegistry registry;
  for (const char* name : {"a", "b", "c"})
    Add(registry, MakeMember(name));
  registry.RecordHeartbeat(InstanceId("a"), {}, At(5000));
  registry.RecordHeartbeat(InstanceId("b"), {}, At(5000));
  BOOST_TEST(Addresses(registry, "z", At(5000)).size() == 2U);
  // If all are silent, the fault is likely at this instance.
  BOOST_TEST(Addresses(registry, "z", At(20000)).size() == 3U);
}

// Guards against rows of failed instances that are never removed, and against
// an isolated instance that removes the rows of live ones.
BOOST_AUTO_TEST_CASE(rows_of_failed_instances_are_removed) {
  MemberRegistry registry;
  for (const char* name : {"a", "b", "c"})
    Add(registry, MakeMember(name));
  registry.RecordHeartbeat(InstanceId("a"), {}, At(60000));
  registry.RecordHeartbeat(InstanceId("b"), {}, At(60000));
  const auto failed = registry.RowsOfFailedMembers(At(60000));
  BOOST_REQUIRE(failed.size() == 1U);
  BOOST_TEST(failed.front().instance == InstanceId("c"));
  BOOST_TEST(registry.RowsOfFailedMembers(At(120000)).empty());
}

// Guards against an instance that is treated as silent right after a restart,
// because the heartbeat of its previous process is old.
BOOST_AUTO_TEST_CASE(a_restart_resets_the_heartbeat_timeout) {
  MemberRegistry registry;
  for (const char* name : {"a", "b", "c"})
    Add(registry, MakeMember(name));
  Member again = MakeMember("c");
  again.incarnation = Incarnation("c-2");
  registry.Update(again, RowVersion(2), At(9000));
  BOOST_TEST(!registry.IsSilent(InstanceId("c"), At(9500)));
}

// Guards against all instances or none watching the store. All compute the same
// ranking, and those that cannot reach the store rank last.
BOOST_AUTO_TEST_CASE(candidates_are_ranked_by_store_access_and_capacity) {
  MemberRegistry registry;
  for (const char* name : {"a", "b", "c", "d"}) {
    Member member = MakeMember(name);
    member.capacity = std::string(name) == "c" ? 0.5 : 0.1;
    Add(registry, member);
  }
  BOOST_TEST(registry.CandidateRank(InstanceId("c"), At(0)) == 0U);
  std::set<std::size_t> ranks;
  for (const char* name : {"a", "b", "c", "d"})
    ranks.insert(registry.CandidateRank(InstanceId(name), At(0)));
  BOOST_TEST(ranks.size() == 4U);
  registry.RecordHeartbeat(InstanceId("c"), {std::nullopt, false}, At(0));
  BOOST_TEST(registry.CandidateRank(InstanceId("c"), At(0)) == 3U);
  // An instance without a row ranks behind all that have one.
  BOOST_TEST(registry.CandidateRank(InstanceId("x"), At(0)) == 4U);
  BOOST_TEST(MemberRegistry().CandidateRank(InstanceId("x"), At(0)) == 0U);
}

// Guards against usage that is counted in the wrong window because one
// instance's clock is wrong.
BOOST_AUTO_TEST_CASE(the_median_clock_offset_is_used) {
  MemberRegistry registry;
  for (const auto& [name, offset] :
       {std::pair("a", 5000), std::pair("b", 5010)}) {
    Add(registry, MakeMember(name));
    registry.RecordHeartbeat(InstanceId(name), {Millis(offset), true}, At(0));
  }
  BOOST_TEST(registry.MedianWallOffset(Millis(999000), At(0)).count() == 5010);
  BOOST_TEST(MemberRegistry().MedianWallOffset(Millis(7), At(0)).count() == 7);
}

// Guards against fields that are lost when a member is written to the store and
// read back.
BOOST_AUTO_TEST_CASE(member_encoding_round_trips) {
  Member member = MakeMember("a");
  member.leaving = true;
  member.capacity = 0.12;
  const auto read = DecodeMember(EncodeMember(member));
  BOOST_TEST((read.value() == member));
  BOOST_TEST(!DecodeMember("[]"));
}

// Guards against copies of usage that are kept where no successor of the holder
// looks: the first candidates must be those that CandidateRank ranks first.
BOOST_AUTO_TEST_CASE(first_candidates_agree_with_their_ranks) {
  MemberRegistry registry;
  for (const char* name : {"a", "b", "c", "d", "e"})
    Add(registry, MakeMember(name));
  Member larger = MakeMember("f");
  larger.capacity = 2;
  Add(registry, larger);
  MemberStatus cut_off;
  cut_off.store_reachable = false;
  registry.RecordHeartbeat(InstanceId("a"), cut_off, At(0));
  const auto first = registry.FirstCandidates(3, At(0));
  BOOST_REQUIRE(first.size() == 3U);
  BOOST_TEST(first.front()->instance == InstanceId("f"));
  for (std::size_t i = 0; i < first.size(); ++i)
    BOOST_TEST(registry.CandidateRank(first[i]->instance, At(0)) == i);
  BOOST_TEST(registry.FirstCandidates(9, At(0)).size() == 6U);
}

// Guards against a fleet that falls apart when the store comes back from a copy
// without the rows of some instances: their messages were dropped, and callers
// were not sent to them. Also against rows that are never written again because
// the instance takes itself for listed.
BOOST_AUTO_TEST_CASE(an_instance_whose_row_is_lost_remains_for_a_while) {
  MemberRegistry registry;
  for (const char* name : {"a", "b"})
    Add(registry, MakeMember(name));
  registry.OnStoreRestored(At(1000));
  registry.RetainOnly({InstanceId("a")}, At(1000));
  BOOST_TEST(Addresses(registry, "z", At(1000)).size() == 2U);
  BOOST_TEST(registry.IsListed(InstanceId("a")));
  BOOST_TEST(!registry.IsListed(InstanceId("b")));
  Add(registry, MakeMember("b"));
  BOOST_TEST(registry.IsListed(InstanceId("b")));
  registry.RetainOnly({InstanceId("a")}, At(1100));
  registry.Expire(At(1000) + MemberRegistry::kRestoreWindow);
  BOOST_TEST(!registry.Find(InstanceId("b")));
  registry.RetainOnly({}, At(10'000));
  BOOST_TEST(registry.All().empty());
}

// Guards against callers that are sent to an instance that stops: the copy is
// from before it said so.
BOOST_AUTO_TEST_CASE(a_copy_does_not_undo_the_leaving_of_a_process) {
  MemberRegistry registry;
  Add(registry, MakeMember("a"));
  Add(registry, MakeMember("b"));
  Member leaving = MakeMember("c");
  leaving.leaving = true;
  Add(registry, leaving);
  registry.OnStoreRestored(At(0));
  Add(registry, MakeMember("c"));
  BOOST_TEST(Addresses(registry, "z").size() == 2U);
  BOOST_TEST(!registry.IsListed(InstanceId("c")));
  Member restarted = MakeMember("c");
  restarted.incarnation = Incarnation("c-2");
  Add(registry, restarted);
  BOOST_TEST(Addresses(registry, "z").size() == 3U);
}

// Guards against callers that are sent to an instance that is gone and that the
// copy brings back.
BOOST_AUTO_TEST_CASE(an_instance_of_a_copy_is_offered_once_it_is_heard) {
  MemberRegistry registry;
  for (const char* name : {"a", "b"}) {
    Add(registry, MakeMember(name));
    registry.RecordHeartbeat(InstanceId(name), {}, At(1000));
  }
  registry.OnStoreRestored(At(1000));
  registry.Update(MakeMember("gone"), RowVersion(1), At(1000));
  BOOST_TEST(Addresses(registry, "z", At(1001)).size() == 2U);
  registry.RecordHeartbeat(InstanceId("gone"), {}, At(1100));
  BOOST_TEST(Addresses(registry, "z", At(1101)).size() == 3U);
}

// Guards against a row that stays in the store for ever: it is that of a
// process which the others know to be leaving, in a copy from before, and the
// process was gone before it could write it again.
BOOST_AUTO_TEST_CASE(the_copied_row_of_a_process_that_left_is_removed) {
  constexpr Millis kLater{20'000};
  MemberRegistry registry;
  for (const char* name : {"a", "b", "c"})
    Add(registry, MakeMember(name));
  Member leaving = MakeMember("gone");
  leaving.leaving = true;
  Add(registry, leaving);
  registry.OnStoreRestored(At(0));
  registry.RetainOnly(
      {InstanceId("a"), InstanceId("b"), InstanceId("c"), InstanceId("gone")},
      At(0));
  registry.Update(MakeMember("gone"), RowVersion(7), At(0));
  registry.Expire(At(0) + MemberRegistry::kRestoreWindow);
  for (const char* name : {"a", "b", "c"})
    registry.RecordHeartbeat(InstanceId(name), {}, At(0) + kLater);
  BOOST_TEST(Addresses(registry, "z", At(0) + kLater).size() == 3U);
  const auto failed = registry.RowsOfFailedMembers(At(0) + kLater);
  BOOST_REQUIRE(failed.size() == 1U);
  BOOST_TEST((failed.front().instance == InstanceId("gone")));
  BOOST_TEST((failed.front().version == RowVersion(7)));
}

// Guards against callers that are sent to instances which reach no server, and
// against requests that are relayed to such instances or to silent ones.
BOOST_AUTO_TEST_CASE(instances_without_servers_are_left_out) {
  MemberRegistry registry;
  for (const char* name : {"a", "b", "c"}) {
    Add(registry, MakeMember(name));
    registry.RecordHeartbeat(InstanceId(name), MemberStatus(), At(0));
  }
  MemberStatus cut_off;
  cut_off.reaches_servers = false;
  registry.RecordHeartbeat(InstanceId("a"), cut_off, At(1500));
  registry.RecordHeartbeat(InstanceId("b"), MemberStatus(), At(1500));
  BOOST_TEST(Addresses(registry, "z", At(1500)) ==
                 (std::vector<std::string>{"b:1", "c:1"}),
             boost::test_tools::per_element());
  const auto relays = registry.WithServers(At(1500));
  BOOST_REQUIRE(relays.size() == 1U);
  BOOST_TEST(relays.front()->instance.value() == "b");
  // Without any other, callers are better off with one that may recover.
  registry.RecordHeartbeat(InstanceId("b"), cut_off, At(1500));
  registry.RecordHeartbeat(InstanceId("c"), cut_off, At(1500));
  BOOST_TEST(Addresses(registry, "z", At(1500)).size() == 3U);
  BOOST_TEST(registry.WithServers(At(1500)).empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
