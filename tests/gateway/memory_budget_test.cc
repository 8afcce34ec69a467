#include "gateway/memory_budget.h"

#include <boost/test/unit_test.hpp>

namespace bamboomount {
namespace {

BOOST_AUTO_TEST_SUITE(memory_budget)

// Guards against work that begins although memory is scarce, and against
// refusals once it no longer is.
BOOST_AUTO_TEST_CASE(new_work_is_refused_while_memory_is_scarce) {
  const auto budget = std::make_shared<MemoryBudget>(100, 150);
  MemoryCharge first(budget);
  BOOST_TEST(first.TryAdd(90));
  MemoryCharge second(budget);
  BOOST_TEST(!second.TryAdd(20));
  BOOST_TEST(budget->used_bytes() == 90U);
  first.Set(0);
  BOOST_TEST(second.TryAdd(20));
}

// Guards against memory that stays charged to a connection that is closed.
BOOST_AUTO_TEST_CASE(a_destroyed_charge_is_released) {
  const auto budget = std::make_shared<MemoryBudget>(100, 150);
  {
    MemoryCharge charge(budget);
    charge.Set(151);
    BOOST_CHECK(budget->state() == MemoryState::kExhausted);
    BOOST_TEST(budget->excess_bytes() == 51U);
  }
  BOOST_TEST(budget->used_bytes() == 0U);
}

// Guards against a shortage that ends before anyone looks and is not reported.
BOOST_AUTO_TEST_CASE(the_worst_state_is_kept_until_it_is_taken) {
  const auto budget = std::make_shared<MemoryBudget>(100, 150);
  MemoryCharge charge(budget);
  charge.Set(120);
  charge.Set(0);
  BOOST_CHECK(budget->TakeWorstState() == MemoryState::kScarce);
  BOOST_CHECK(budget->TakeWorstState() == MemoryState::kNormal);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
