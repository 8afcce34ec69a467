#include "gateway/duties/incarnation_usage.h"

#include <boost/test/unit_test.hpp>

namespace bamboomount {
namespace {

const CustomerId kMill("mill");

IncarnationUsage MakeUsage(const std::string& instance,
                           std::int64_t through,
                           std::int64_t window,
                           std::int64_t count) {
  return {InstanceId(instance),
          WindowNumber(through),
          {{WindowNumber(window), {{kMill, count}}}}};
}

BOOST_AUTO_TEST_SUITE(incarnation_usage)

// Guards against usage that is lost when a process ends: the rows of its
// incarnation must still be counted.
BOOST_AUTO_TEST_CASE(usage_adds_up_over_all_incarnations) {
  UsageByIncarnation stored;
  stored.Put("a-1", MakeUsage("a", 6, 7, 2));
  stored.Put("a-2", MakeUsage("a", 7, 7, 3));
  stored.Put("b-1", MakeUsage("b", 7, 8, 9));
  BOOST_TEST(stored.Sum(WindowNumber(7)).at(kMill) == 5);
  BOOST_TEST(stored.Sum(WindowNumber(6)).empty());
}

// Guards against usage that is lost when a process ends before it has written
// its counts, and against counts that are added twice because they were both
// gossiped and written. In a run with 75 instances, the first fault made a
// report wrong by 8 %.
BOOST_AUTO_TEST_CASE(gossiped_usage_completes_stored_usage) {
  UsageByIncarnation gossiped;
  gossiped.Put("a-1", MakeUsage("a", 6, 7, 5));
  gossiped.Put("b-1", MakeUsage("b", 6, 7, 2));
  UsageByIncarnation stored;
  // For a-1 the gossiped counts are newer than the row, for b-1 the row is
  // newer.
  stored.Put("a-1", MakeUsage("a", 6, 7, 3));
  stored.Put("b-1", MakeUsage("b", 7, 7, 4));
  stored.MergeMaximum(gossiped);
  BOOST_TEST(stored.Sum(WindowNumber(7)).at(kMill) == 9);
  // Only gossip has counts of this process.
  gossiped.Put("c-1", MakeUsage("c", 6, 7, 1));
  stored.MergeMaximum(gossiped);
  BOOST_TEST(stored.Sum(WindowNumber(7)).at(kMill) == 10);
  // Counts that are not final do not make a window complete, neither by gossip
  // nor in the store.
  BOOST_TEST(stored.IsIncomplete(WindowNumber(7), {InstanceId("a")}));
  gossiped.Put("a-1", MakeUsage("a", 7, 7, 6));
  stored.MergeMaximum(gossiped);
  BOOST_TEST(!stored.IsIncomplete(WindowNumber(7), {InstanceId("a")}));
  BOOST_TEST(stored.Sum(WindowNumber(7)).at(kMill) == 11);
}

// Guards against gossiped counts of old windows that accumulate in memory.
BOOST_AUTO_TEST_CASE(outdated_usage_is_dropped) {
  UsageByIncarnation stored;
  stored.Put("a-1", MakeUsage("a", 3, 3, 2));
  stored.Put("a-2", MakeUsage("a", 8, 7, 2));
  stored.DropOutdated(WindowNumber(4));
  BOOST_TEST(stored.Sum(WindowNumber(3)).empty());
  BOOST_TEST(stored.Sum(WindowNumber(7)).at(kMill) == 2);
}

// Guards against a window that is sealed before all instances have written
// their counts. In a run with 75 instances, this made reports wrong by a third.
BOOST_AUTO_TEST_CASE(window_is_incomplete_until_instances_write) {
  UsageByIncarnation stored;
  stored.Put("a-1", MakeUsage("a", 7, 7, 2));
  stored.Put("b-1", MakeUsage("b", 6, 7, 1));
  const InstanceId a("a");
  const InstanceId b("b");
  BOOST_TEST(stored.IsIncomplete(WindowNumber(7), {a, b}));
  BOOST_TEST(!stored.IsIncomplete(WindowNumber(7), {a}));
  // The row of a newer incarnation shows that the instance has completed the
  // window.
  stored.Put("b-2", MakeUsage("b", 7, 7, 1));
  BOOST_TEST(!stored.IsIncomplete(WindowNumber(7), {a, b}));
  // An instance that has not served any customer writes no row.
  BOOST_TEST(!stored.IsIncomplete(WindowNumber(7), {a, b, InstanceId("c")}));
}

// Guards against rows of ended processes that accumulate in the store.
BOOST_AUTO_TEST_CASE(rows_without_newer_windows_are_outdated) {
  UsageByIncarnation stored;
  stored.Put("a-1", MakeUsage("a", 3, 3, 2));
  stored.Put("a-2", MakeUsage("a", 8, 7, 2));
  const auto outdated = stored.OutdatedKeys(WindowNumber(4));
  BOOST_REQUIRE(outdated.size() == 1U);
  BOOST_TEST(outdated.front() == "a-1");
}

// Guards against counts that change when they are encoded and decoded, and
// against malformed rows that are accepted.
BOOST_AUTO_TEST_CASE(encoded_usage_decodes_to_the_same_value) {
  const IncarnationUsage usage = MakeUsage("a", 6, 7, 2);
  const auto read = DecodeIncarnationUsage(EncodeIncarnationUsage(usage));
  BOOST_TEST(read.value().instance == usage.instance);
  BOOST_TEST((read.value().complete_through == usage.complete_through));
  BOOST_TEST((read.value().windows == usage.windows));
  BOOST_TEST(!DecodeIncarnationUsage("[]"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
