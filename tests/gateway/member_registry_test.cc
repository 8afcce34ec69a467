#include "gateway/membership/member_registry.h"

#include <boost/test/unit_test.hpp>

#include "instants.h"

namespace bamboomount {
namespace {

Member MakeMember(const std::string& instance,
                  const std::string& zone,
                  std::int64_t store_time) {
  Member member;
  member.instance = InstanceId(instance);
  member.incarnation = Incarnation(instance + "-1");
  member.caller_address = instance + ":1";
  member.zone = ZoneId(zone);
  member.region = RegionId("r");
  member.store_time = Millis(store_time);
  return member;
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
  for (const char* name : {"a", "b"})
    registry.Update(name, MakeMember(name, "near", 100), At(0));
  registry.Update("c", MakeMember("c", "far", 100), At(0));
  registry.NoteStoreTime(Millis(100));
  BOOST_TEST(Addresses(registry, "near").size() == 2U);
  // A single address leaves no way out when it fails.
  BOOST_TEST(Addresses(registry, "far").size() == 3U);
}

// Guards against callers that are sent to an instance that failed or stops.
BOOST_AUTO_TEST_CASE(failed_and_leaving_instances_are_left_out) {
  MemberRegistry registry;
  registry.Update("a", MakeMember("a", "z", 100), At(0));
  registry.Update("b", MakeMember("b", "z", 19000), At(0));
  Member leaving = MakeMember("c", "z", 19000);
  leaving.leaving = true;
  registry.Update("c", leaving, At(0));
  registry.NoteStoreTime(Millis(19500));
  BOOST_TEST(Addresses(registry, "z") == std::vector<std::string>{"b:1"},
             boost::test_tools::per_element());
}

// Guards against callers that are sent to an instance that fell silent, until
// its row runs out.
BOOST_AUTO_TEST_CASE(a_silent_instance_is_left_out_unless_most_are_silent) {
  MemberRegistry registry;
  for (const char* name : {"a", "b", "c"}) {
    registry.Update(name, MakeMember(name, "z", 100), At(0));
    registry.NoteHeard(InstanceId(name), At(0));
  }
  registry.NoteStoreTime(Millis(100));
  registry.NoteHeard(InstanceId("a"), At(5000));
  registry.NoteHeard(InstanceId("b"), At(5000));
  BOOST_TEST(Addresses(registry, "z", At(5000)).size() == 2U);
  // All silent: the fault is likely on this side.
  BOOST_TEST(Addresses(registry, "z", At(20000)).size() == 3U);
}

// Guards against callers that are sent to an instance that failed before this
// one started and heard it (found by a hunt: addresses of an instance that had
// been off for 12 s).
BOOST_AUTO_TEST_CASE(an_instance_that_was_never_heard_is_left_out) {
  MemberRegistry registry;
  for (const char* name : {"a", "b", "c"}) {
    Member member = MakeMember(name, "z", 100);
    member.peer_address = std::string(name) + ":2";
    registry.Update(name, member, At(0));
  }
  registry.NoteStoreTime(Millis(100));
  registry.NoteHeard(InstanceId("a"), At(5000));
  registry.NoteHeard(InstanceId("b"), At(5000));
  BOOST_TEST(Addresses(registry, "z", At(5000)).size() == 2U);
}

// Guards against a fleet that forgets its members in an outage of the store:
// ages are judged by answers of the store alone.
BOOST_AUTO_TEST_CASE(an_outage_of_the_store_ages_nobody) {
  MemberRegistry registry;
  registry.Update("a", MakeMember("a", "z", 100), At(0));
  registry.NoteStoreTime(Millis(1000));
  BOOST_TEST(registry.AliveCount() == 1);
  BOOST_TEST(Addresses(registry, "z").size() == 1U);
}

// Guards against usage that is lost with a process: its row still counts.
BOOST_AUTO_TEST_CASE(usage_adds_up_over_all_incarnations) {
  MemberRegistry registry;
  Member old = MakeMember("a", "z", 100);
  old.usage[WindowNumber(7)][CustomerId("mill")] = 2;
  Member current = MakeMember("a", "z", 9000);
  current.usage[WindowNumber(7)][CustomerId("mill")] = 3;
  registry.Update("a/1", old, At(0));
  registry.Update("a/2", current, At(0));
  registry.NoteStoreTime(Millis(9000));
  BOOST_TEST(registry.UsageOf(WindowNumber(7)).at(CustomerId("mill")) == 5);
  BOOST_TEST(registry.AliveCount() == 1);
}

// Guards against one wrong clock that moves usage to other windows.
BOOST_AUTO_TEST_CASE(the_median_clock_counts) {
  MemberRegistry registry;
  const std::vector<std::int64_t> offsets{5000, 5010, 999000};
  for (std::size_t i = 0; i < offsets.size(); ++i) {
    Member member = MakeMember(std::to_string(i), "z", 100);
    member.wall_offset = Millis(offsets[i]);
    registry.Update(std::to_string(i), member, At(0));
  }
  registry.NoteStoreTime(Millis(100));
  BOOST_TEST(registry.WallOffset()->count() == 5010);
}

// Guards against a member that loses facts on its way through the store.
BOOST_AUTO_TEST_CASE(a_member_reads_back_as_it_was_written) {
  Member member = MakeMember("a", "z", 123);
  member.leaving = true;
  member.peer_address = "10.0.0.1:7";
  member.usage[WindowNumber(9)][CustomerId("mill")] = 5;
  const auto read = DecodeMember(EncodeMember(member));
  BOOST_TEST(read.value().leaving);
  BOOST_TEST(read.value().peer_address == "10.0.0.1:7");
  BOOST_TEST((read.value().usage == member.usage));
  BOOST_TEST(!DecodeMember("[]"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
