#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>

#include <rapidcheck/boost_test.h>

#include "policy/cell_driver.h"

namespace bamboomount {
namespace {

rc::Gen<CellEvent> AnyEvent() {
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
      {1, Kind::kResize},
      {4, Kind::kAdvance},
  });
  return rc::gen::build<CellEvent>(
      rc::gen::set(&CellEvent::kind, kind),
      rc::gen::set(&CellEvent::a, rc::gen::inRange(0, 1000)),
      rc::gen::set(&CellEvent::b, rc::gen::inRange(0, 1000)));
}

// Guards against a higher tier shed before a lower one, grants on leaving,
// excluded, failed or full backend servers, preemption, and wrong slot counts.
void CheckEveryDecision(const CellOptions& options, int kept_turns) {
  const auto events = *rc::gen::scale(
      10, rc::gen::container<std::vector<CellEvent>>(AnyEvent()));
  CellDriver driver(options, kept_turns);
  driver.WarmUp();
  for (const CellEvent& event : events) {
    driver.Apply(event);
    if (event.kind == CellEvent::Kind::kAdvance ||
        event.kind == CellEvent::Kind::kFinish || event.b % 3 == 0)
      driver.Decide();
  }
  driver.Decide();
  RC_TAG(driver.sheds() > 0 ? "some shed" : "none shed");
}

}  // namespace

BOOST_AUTO_TEST_SUITE(cell_scheduler_properties)

RC_BOOST_PROP(every_decision_keeps_the_rules, ()) {
  CellOptions options;
  options.keeps_guaranteed_turn = false;
  CheckEveryDecision(options, 0);
}

// Also guards against more than one kept request of each lower class.
RC_BOOST_PROP(every_decision_keeps_the_rules_with_guaranteed_turns, ()) {
  CheckEveryDecision({}, 1);
}

// Guards against requests that wait forever or are answered twice.
RC_BOOST_PROP(each_request_gets_one_decision, ()) {
  const auto events = *rc::gen::container<std::vector<CellEvent>>(AnyEvent());
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
