#include "gateway/placement/engine_admission.h"

#include <boost/test/unit_test.hpp>

#include "instants.h"
#include "placement_fixture.h"

namespace bamboomount {
namespace {

const EngineAdmissionRequest kUrgent{Tier(1), true, Millis(500)};
const EngineAdmissionRequest kNotUrgent{Tier(2), false, Millis(1200)};

// One engine with 16 slots. The initial prefill throughput is 50 tokens per ms.
struct EngineFixture {
  BackendServer engine = MakeServers(1).front();
  BackendLoads loads;
  PrefillThroughput throughput;
  EngineAdmission admission{loads, throughput};

  void Add(std::int64_t tokens, bool urgent) {
    loads.AddRequest(engine.id, {Tokens(tokens), false, urgent});
  }
};

BOOST_FIXTURE_TEST_SUITE(engine_admission, EngineFixture)

// Guards against requests that wait at an engine until their callers give up,
// in a burst beyond the engine's capacity.
BOOST_AUTO_TEST_CASE(
    requests_are_admitted_while_the_predicted_wait_fits_the_target) {
  BOOST_TEST(admission.Admits(engine, kNotUrgent));
  Add(20000, false);
  BOOST_TEST(admission.Admits(engine, kNotUrgent));
  Add(20000, false);
  // 800 ms of pending prefill exceed 0.6 of the target of 1,200 ms.
  BOOST_TEST(!admission.Admits(engine, kNotUrgent));
}

// Guards against urgent requests that are rejected because of prompts that the
// engine serves after them.
BOOST_AUTO_TEST_CASE(urgent_requests_wait_for_urgent_ones_only) {
  Add(100000, false);
  BOOST_TEST(admission.Admits(engine, kUrgent));
  Add(20000, true);
  BOOST_TEST(!admission.Admits(engine, kUrgent));
}

// Guards against an unbounded queue at the engine when prompts are so short
// that the predicted wait stays small.
BOOST_AUTO_TEST_CASE(slots_bound_the_requests_at_an_engine) {
  for (int i = 0; i < 20; ++i)
    Add(1, false);
  BOOST_TEST(!admission.Admits(engine, kNotUrgent));
  BOOST_TEST(admission.Admits(engine, kUrgent));
  for (int i = 0; i < 12; ++i)
    Add(1, false);
  BOOST_TEST(!admission.Admits(engine, kUrgent));
}

// Guards against urgent requests that get nothing before their callers leave,
// because conversations hold all slots of the engine for seconds.
BOOST_AUTO_TEST_CASE(an_engine_full_of_conversations_admits_no_more) {
  const RequestLoad conversation{Tokens(500), true, true};
  for (int i = 0; i < engine.slots; ++i) {
    loads.AddRequest(engine.id, conversation);
    loads.RecordFirstToken(engine.id, conversation);
  }
  BOOST_TEST(!admission.Admits(engine, kUrgent));
  BOOST_TEST(!admission.AdmitsLate(engine, kUrgent));
  for (int i = 0; i < engine.slots / 2; ++i)
    loads.EndRequest(engine.id, conversation, true);
  BOOST_TEST(admission.Admits(engine, kUrgent));
}

// Guards against a higher tier that is shed while a lower one is served, in a
// burst of urgent requests.
BOOST_AUTO_TEST_CASE(
    less_urgent_requests_yield_while_urgent_ones_are_rejected) {
  admission.RecordRejection(engine.pool, kUrgent, At(0));
  BOOST_TEST(admission.MustYield(engine.pool, kNotUrgent, At(100)));
  BOOST_TEST(!admission.MustYield(engine.pool, kUrgent, At(100)));
  BOOST_TEST(!admission.MustYield(PoolId("other"), kNotUrgent, At(100)));
  const Instant later = At(0) + EngineAdmission::kPriorityHoldTime;
  BOOST_TEST(!admission.MustYield(engine.pool, kNotUrgent, later));
}

// Guards against a throughput estimate that never corrects a wrong initial
// value, and against one that a single frozen engine distorts.
BOOST_AUTO_TEST_CASE(throughput_is_learned_from_first_token_latency) {
  const PoolId pool("p");
  throughput.Observe(pool, Tokens(100), Millis(1000));
  BOOST_TEST(throughput.tokens_per_ms(pool) ==
             PrefillThroughput::kInitialTokensPerMs);
  for (int i = 0; i < 200; ++i)
    throughput.Observe(pool, Tokens(20000), Millis(200));
  BOOST_TEST(throughput.tokens_per_ms(pool) > 95);
  throughput.Observe(pool, Tokens(20000), Millis(20000));
  BOOST_TEST(throughput.tokens_per_ms(pool) > 90);
  BOOST_TEST(throughput.PrefillTime(pool, Tokens(10000)).count() < 115);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
