#include "gateway/placement/retry_budget_share.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <deque>
#include <vector>

#include "instants.h"

namespace bamboomount {
namespace {

constexpr RetryLimits kLimits{0.2, 56, Millis(10000)};

BOOST_AUTO_TEST_SUITE(retry_budget_share)

// Guards against retries that never come back after a burst of failures.
BOOST_AUTO_TEST_CASE(retries_are_available_again_after_the_window) {
  RetryBudgetShare budget_share;
  int taken = 0;
  while (budget_share.TrySpend(kLimits, 8, At(0)))
    ++taken;
  BOOST_TEST(taken > 0);
  BOOST_TEST(!budget_share.TrySpend(kLimits, 8, At(5000)));
  BOOST_TEST(budget_share.TrySpend(kLimits, 8, At(20000)));
}

struct Step {
  int gap_ms = 0;
  int instance = 0;
  bool is_retry = false;
};

// Guards against a fleet that together exceeds the bound although each
// instance keeps to its part.
RC_BOOST_PROP(the_fleet_stays_within_the_retry_bound, ()) {
  const int instances = *rc::gen::inRange(1, 9);
  const auto steps = *rc::gen::container<std::vector<Step>>(
      400, rc::gen::build<Step>(
               rc::gen::set(&Step::gap_ms, rc::gen::inRange(0, 120)),
               rc::gen::set(&Step::instance, rc::gen::inRange(0, instances)),
               rc::gen::set(&Step::is_retry, rc::gen::arbitrary<bool>())));
  std::vector<RetryBudgetShare> fleet(static_cast<std::size_t>(instances));
  std::deque<std::pair<std::int64_t, bool>> events;
  std::int64_t now = 0;
  for (const Step& step : steps) {
    now += step.gap_ms;
    RetryBudgetShare& budget_share =
        fleet[static_cast<std::size_t>(step.instance)];
    if (!step.is_retry)
      budget_share.AddRequest(At(now));
    else if (!budget_share.TrySpend(kLimits, instances, At(now)))
      continue;
    events.emplace_back(now, step.is_retry);
    while (events.front().first <= now - kLimits.window.count())
      events.pop_front();
    double retries = 0;
    double requests = 0;
    for (const auto& [at, is_retry] : events)
      (is_retry ? retries : requests) += 1;
    RC_ASSERT(retries <= kLimits.ratio * requests + kLimits.slack);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
