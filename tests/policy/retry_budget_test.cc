#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>

#include <rapidcheck/boost_test.h>

#include "policy/policy.h"

namespace bamboomount {

BOOST_AUTO_TEST_SUITE(retry_budget)

// Guards against retries that multiply the load of an overloaded fleet: when
// most requests fail, unlimited retries would multiply the number sent.
RC_BOOST_PROP(retries_stay_within_a_tenth_of_requests,
              (const std::vector<bool>& requests)) {
  RetryBudget budget;
  int sent = 0;
  int retried = 0;
  for (const bool request : requests) {
    if (request) {
      budget.AddRequest();
      ++sent;
      continue;
    }
    retried += budget.TrySpend() ? 1 : 0;
    RC_ASSERT(10 * (retried - RetryBudget::kBurstRetries) <= sent);
  }
}

// Guards against back-off without jitter, which makes clients retry at the same
// time, and against delays that grow without bound.
RC_BOOST_PROP(backoff_grows_with_jitter_up_to_a_bound, ()) {
  const int retry = *rc::gen::inRange(1, 100);
  const double random = *rc::gen::inRange(0, 1000) / 1000.0;
  const Millis delay = RetryBudget::Backoff(retry, random);
  RC_ASSERT(delay <= RetryBudget::Backoff(retry + 1, random));
  RC_ASSERT(delay <= Millis(2000));
  RC_ASSERT(RetryBudget::Backoff(retry, 0) == Millis(0));
  RC_ASSERT(RetryBudget::Backoff(retry, 0.5) > Millis(0));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bamboomount
