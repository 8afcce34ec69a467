#include "gateway/placement/concurrency_limit.h"

#include <boost/test/unit_test.hpp>

#include "instants.h"

namespace bamboomount {
namespace {

const Tier kUrgent(1);
const Tier kLeastUrgent(2);
constexpr Millis kTarget{500};
constexpr Millis kInTime{200};
constexpr Millis kLate{600};
constexpr Millis kMuchTooLate{2000};

// The limit of an instance with some requests of two priorities.
struct LimitFixture {
  ConcurrencyLimit limit;

  LimitFixture() {
    for (int i = 0; i < 10; ++i)
      limit.Add(kUrgent);
    for (int i = 0; i < 30; ++i)
      limit.Add(kLeastUrgent);
  }

  bool HasRoom(Tier priority) const {
    return limit.HasRoom(priority, priority == kUrgent);
  }

  void Record(Tier priority,
              Millis latency,
              std::int64_t now,
              bool busy = true) {
    limit.Record({priority, priority == kUrgent, At(now) - latency, latency,
                  kTarget, busy},
                 At(now));
  }
};

BOOST_FIXTURE_TEST_SUITE(concurrency_limit, LimitFixture)

// Guards against requests that are refused by a limit before any answer was
// late.
BOOST_AUTO_TEST_CASE(there_is_no_limit_before_an_answer_is_late) {
  Record(kUrgent, kInTime, 1000);
  BOOST_TEST(HasRoom(kLeastUrgent));
}

// Guards against urgent requests that are refused while less urgent ones hold
// the room, after a burst of the latter was sent.
BOOST_AUTO_TEST_CASE(late_answers_take_room_from_the_least_urgent_requests) {
  for (std::int64_t second = 1; second < 60; ++second)
    Record(second % 2 == 0 ? kUrgent : kLeastUrgent, kLate, second * 1000);
  BOOST_TEST(!HasRoom(kLeastUrgent));
  BOOST_TEST(HasRoom(kUrgent));
}

// Guards against a queue of urgent requests that grows until all callers leave.
BOOST_AUTO_TEST_CASE(urgent_answers_that_are_much_too_late_limit_themselves) {
  for (std::int64_t round = 1; round < 60; ++round)
    Record(kUrgent, kMuchTooLate, round * 5000);
  BOOST_TEST(!HasRoom(kUrgent));
}

// Guards against a limit that collapses because all answers of one overloaded
// moment lower it.
BOOST_AUTO_TEST_CASE(answers_to_requests_before_a_decrease_do_not_count) {
  Record(kLeastUrgent, kLate, 1000);
  const double after_first = limit.limit();
  Record(kLeastUrgent, kLate, 1100);
  BOOST_TEST(limit.limit() == after_first);
  Record(kLeastUrgent, kLate, 2000);
  BOOST_TEST(limit.limit() < after_first);
}

// Guards against requests that are refused because one engine is faulty.
BOOST_AUTO_TEST_CASE(late_answers_of_engines_with_few_requests_do_not_count) {
  Record(kLeastUrgent, kLate, 1000, false);
  BOOST_TEST(HasRoom(kLeastUrgent));
}

// Guards against a limit that stays low after the burst.
BOOST_AUTO_TEST_CASE(answers_in_time_raise_the_limit_while_it_is_used) {
  Record(kLeastUrgent, kLate, 1000);
  BOOST_TEST(!HasRoom(kLeastUrgent));
  for (int i = 0; i < 100; ++i)
    Record(kLeastUrgent, kInTime, 2000 + i);
  BOOST_TEST(HasRoom(kLeastUrgent));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
