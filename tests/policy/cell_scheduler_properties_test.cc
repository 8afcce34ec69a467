#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>

#include <rapidcheck/boost_test.h>

#include "policy/cell_driver.h"

namespace bamboomount {
namespace {

rc::Gen<CellEvent> GenerateEvent() {
  using Kind = CellEvent::Kind;
  const auto kind = rc::gen::weightedElement<Kind>({
      {12, Kind::kEnqueue},
      {1, Kind::kCancel},
      {6, Kind::kFinish},
      {1, Kind::kFail},
      {2, Kind::kProgress},
      {1, Kind::kLoad},
      {1, Kind::kLeave},
      {1, Kind::kAdopt},
      {1, Kind::kToggleBackend},
      {4, Kind::kAdvance},
  });
  return rc::gen::build<CellEvent>(
      rc::gen::set(&CellEvent::kind, kind),
      rc::gen::set(&CellEvent::a, rc::gen::inRange(0, 1000)),
      rc::gen::set(&CellEvent::b, rc::gen::inRange(0, 1000)));
}

// Guards against a higher tier shed before a lower one, grants on leaving,
// excluded, failed or full backend servers, preemption, and wrong slot counts.
void CheckSchedulerInvariants(const CellOptions& options,
                              int shed_floor_per_class) {
  const auto events = *rc::gen::scale(
      10, rc::gen::container<std::vector<CellEvent>>(GenerateEvent()));
  CellDriver driver(options, shed_floor_per_class);
  driver.WarmUp();
  for (const CellEvent& event : events) {
    driver.Apply(event);
    if (event.kind == CellEvent::Kind::kAdvance ||
        event.kind == CellEvent::Kind::kFinish || event.b % 3 == 0)
      driver.Decide();
  }
  driver.Decide();
  RC_TAG(driver.shed_count() > 0 ? "some shed" : "none shed");
}

}  // namespace

BOOST_AUTO_TEST_SUITE(cell_scheduler_properties)

RC_BOOST_PROP(decisions_keep_the_scheduler_invariants, ()) {
  CellOptions options;
  options.protects_guaranteed_grant = false;
  CheckSchedulerInvariants(options, 0);
}

// Also guards against more than one kept request of each lower class.
RC_BOOST_PROP(decisions_keep_the_scheduler_invariants_with_guaranteed_grants,
              ()) {
  CheckSchedulerInvariants({}, 1);
}

// Guards against requests that wait forever or are answered twice.
RC_BOOST_PROP(each_request_gets_exactly_one_decision, ()) {
  const auto events =
      *rc::gen::container<std::vector<CellEvent>>(GenerateEvent());
  CellDriver driver({}, 1);
  for (const CellEvent& event : events) {
    driver.Apply(event);
    if (event.b % 3 == 0)
      driver.Decide();
  }
  RC_ASSERT(driver.Drain());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bamboomount
