#include "gateway/placement/retry_allowance.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <deque>
#include <vector>

#include "instants.h"

namespace bamboomount {
namespace {

constexpr RetryLimits kLimits{0.2, 56, Millis(10000)};

BOOST_AUTO_TEST_SUITE(retry_allowance)

// Guards against repeats that never come back after a burst of failures.
BOOST_AUTO_TEST_CASE(the_allowance_returns_with_the_window) {
  RetryAllowance allowance;
  int taken = 0;
  while (allowance.TrySpend(kLimits, 8, At(0)))
    ++taken;
  BOOST_TEST(taken > 0);
  BOOST_TEST(!allowance.TrySpend(kLimits, 8, At(5000)));
  BOOST_TEST(allowance.TrySpend(kLimits, 8, At(20000)));
}

struct Step {
  int gap = 0;
  int instance = 0;
  bool repeat = false;
};

// Guards against a fleet that together exceeds the bound although each
// instance keeps to its part.
RC_BOOST_PROP(all_instances_together_keep_the_bound, ()) {
  const int instances = *rc::gen::inRange(1, 9);
  const auto steps = *rc::gen::container<std::vector<Step>>(
      400, rc::gen::build<Step>(
               rc::gen::set(&Step::gap, rc::gen::inRange(0, 120)),
               rc::gen::set(&Step::instance, rc::gen::inRange(0, instances)),
               rc::gen::set(&Step::repeat, rc::gen::arbitrary<bool>())));
  std::vector<RetryAllowance> fleet(static_cast<std::size_t>(instances));
  std::deque<std::pair<std::int64_t, bool>> events;
  std::int64_t now = 0;
  for (const Step& step : steps) {
    now += step.gap;
    RetryAllowance& allowance = fleet[static_cast<std::size_t>(step.instance)];
    if (!step.repeat)
      allowance.AddRequest(At(now));
    else if (!allowance.TrySpend(kLimits, instances, At(now)))
      continue;
    events.emplace_back(now, step.repeat);
    while (events.front().first <= now - kLimits.window.count())
      events.pop_front();
    double repeats = 0;
    double requests = 0;
    for (const auto& [at, repeat] : events)
      (repeat ? repeats : requests) += 1;
    RC_ASSERT(repeats <= kLimits.ratio * requests + kLimits.slack);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
