#include "gateway/replication/stale_poll_schedule.h"

#include <boost/test/unit_test.hpp>
#include <optional>
#include <random>
#include <vector>

#include "instants.h"

namespace bamboomount {
namespace {

constexpr Millis kTick{100};
constexpr Millis kOutage{6000};

// Polls of a fleet during an outage of the store.
struct OutagePolls {
  int count = 0;
  std::optional<Millis> first;
};

OutagePolls RunOutage(int instances) {
  // Consecutive seeds would give the schedules similar first random numbers.
  std::mt19937 seeds(7);
  std::vector<StalePollSchedule> schedules;
  schedules.reserve(static_cast<std::size_t>(instances));
  for (int i = 0; i < instances; ++i)
    schedules.emplace_back(static_cast<std::uint32_t>(seeds()));
  OutagePolls polls;
  for (Millis time(0); time < kOutage; time += kTick) {
    for (StalePollSchedule& schedule : schedules) {
      if (!schedule.IsDue(schedules.size() - 1, At(time.count())))
        continue;
      ++polls.count;
      polls.first = polls.first.value_or(time);
    }
  }
  return polls;
}

BOOST_AUTO_TEST_SUITE(stale_poll_schedule)

// Guards against a large fleet in which every instance polls in an outage: 295
// instances made about 3,000 calls in 6 s of silence.
BOOST_AUTO_TEST_CASE(polls_in_an_outage_do_not_grow_with_the_fleet) {
  const OutagePolls medium = RunOutage(100);
  const OutagePolls large = RunOutage(300);
  BOOST_TEST(large.count <= 2 * medium.count);
  BOOST_TEST(large.count < 300);
}

// Guards against a fleet that notices the return of the store late because
// polls are spread too far.
BOOST_AUTO_TEST_CASE(some_instance_of_a_large_fleet_polls_soon) {
  const OutagePolls polls = RunOutage(300);
  BOOST_REQUIRE(polls.first.has_value());
  BOOST_TEST(polls.first->count() <=
             StalePollSchedule::kInitialBackoff.count());
  constexpr int kMinPollsPerSecond = 5;
  BOOST_TEST(polls.count >= kMinPollsPerSecond * (kOutage / Millis(1000)));
}

// Guards against an instance that hears no peers, or few, and refuses callers
// because it waits for others to poll.
BOOST_AUTO_TEST_CASE(an_isolated_instance_polls_at_once_and_backs_off) {
  StalePollSchedule schedule(1);
  std::vector<std::int64_t> polls;
  for (std::int64_t time = 0; time < 6000; time += kTick.count()) {
    if (schedule.IsDue(2, At(time)))
      polls.push_back(time);
  }
  const std::vector<std::int64_t> expected{0, 300, 900, 2100, 4500};
  BOOST_TEST(polls == expected, boost::test_tools::per_element());
  schedule.OnFresh();
  BOOST_TEST(schedule.IsDue(2, At(6000)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
