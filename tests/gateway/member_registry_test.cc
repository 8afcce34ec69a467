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
  return registry.AddressesFor(ZoneId(zone), RegionId("r"), 64, now);
}

BOOST_AUTO_TEST_SUITE(member_registry)

// Guards against callers that are sent across zones without need.
BOOST_AUTO_TEST_CASE(callers_get_the_instances_of_their_zone) {
  MemberRegistry registry;
  Add(registry, MakeMember("a", "near"));
  Add(registry, MakeMember("b", "near"));
  Add(registry, MakeMember("c", "far"));
  BOOST_TEST(Addresses(registry, "near").size() == 2U);
  // A single address leaves no way out when it fails.
  BOOST_TEST(Addresses(registry, "far").size() == 3U);
}

// Guards against callers that are sent to an instance that stops.
BOOST_AUTO_TEST_CASE(leaving_instances_are_not_offered) {
  MemberRegistry registry;
  Add(registry, MakeMember("a"));
  Add(registry, MakeMember("b"));
  Member leaving = MakeMember("c");
  leaving.leaving = true;
  Add(registry, leaving);
  BOOST_TEST(Addresses(registry, "z").size() == 2U);
}

// Guards against callers that are sent to an instance that fell silent, until
// its row is dropped, and against an instance that was never heard (found by a
// hunt: addresses of an instance that had been off for 12 s).
BOOST_AUTO_TEST_CASE(a_silent_instance_is_not_offered_unless_most_are_silent) {
  MemberRegistry registry;
  for (const char* name : {"a", "b", "c"})
    Add(registry, MakeMember(name));
  registry.RecordHeartbeat(InstanceId("a"), {}, At(5000));
  registry.RecordHeartbeat(InstanceId("b"), {}, At(5000));
  BOOST_TEST(Addresses(registry, "z", At(5000)).size() == 2U);
  // All silent: the fault is likely on this side.
  BOOST_TEST(Addresses(registry, "z", At(20000)).size() == 3U);
}

// Guards against rows of failed instances that stay for ever, and against live
// ones that are dropped by an instance that hears nobody.
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

// Guards against an instance that is taken for silent because its process was
// started again.
BOOST_AUTO_TEST_CASE(a_restart_resets_the_heartbeat_timeout) {
  MemberRegistry registry;
  for (const char* name : {"a", "b", "c"})
    Add(registry, MakeMember(name));
  Member again = MakeMember("c");
  again.incarnation = Incarnation("c-2");
  registry.Update(again, RowVersion(2), At(9000));
  BOOST_TEST(!registry.IsSilent(InstanceId("c"), At(9500)));
}

// Guards against instances that all watch the store, or none: the ranks are a
// common order, and those that cannot watch come last.
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
  // An instance without a row leaves the tasks to those that have one.
  BOOST_TEST(registry.CandidateRank(InstanceId("x"), At(0)) == 4U);
  BOOST_TEST(MemberRegistry().CandidateRank(InstanceId("x"), At(0)) == 0U);
}

// Guards against one wrong clock that moves usage to other windows.
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

// Guards against a member that loses facts on its way through the store.
BOOST_AUTO_TEST_CASE(member_encoding_round_trips) {
  Member member = MakeMember("a");
  member.leaving = true;
  member.capacity = 0.12;
  const auto read = DecodeMember(EncodeMember(member));
  BOOST_TEST((read.value() == member));
  BOOST_TEST(!DecodeMember("[]"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
