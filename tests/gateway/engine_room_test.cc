#include "gateway/placement/engine_room.h"

#include <boost/test/unit_test.hpp>

#include "instants.h"
#include "placement_fixture.h"

namespace bamboomount {
namespace {

const RoomRequest kUrgent{Tier(1), true, Millis(500)};
const RoomRequest kPatient{Tier(2), false, Millis(1200)};

// One engine with 16 slots; it reads 50 tokens a millisecond.
struct EngineFixture {
  BackendServer engine = MakeServers(1).front();
  BackendLoads loads;
  ReadSpeed speed;
  EngineRoom room{loads, speed};

  void Add(std::int64_t tokens, bool urgent) {
    loads.AddRequest(engine.id, {Tokens(tokens), false, urgent});
  }
};

BOOST_FIXTURE_TEST_SUITE(engine_room, EngineFixture)

// Pattern: a burst of one class beyond capacity. Guards against requests that
// wait at an engine until their callers give up.
BOOST_AUTO_TEST_CASE(an_engine_takes_what_it_can_begin_in_time) {
  BOOST_TEST(room.Has(engine, kPatient));
  Add(20000, false);
  BOOST_TEST(room.Has(engine, kPatient));
  Add(20000, false);
  // 800 ms of waiting prompts are more than 0.6 of 1,200 ms.
  BOOST_TEST(!room.Has(engine, kPatient));
}

// Guards against urgent requests that are refused for prompts which the engine
// serves after them.
BOOST_AUTO_TEST_CASE(urgent_requests_wait_for_urgent_ones_only) {
  Add(100000, false);
  BOOST_TEST(room.Has(engine, kUrgent));
  Add(20000, true);
  BOOST_TEST(!room.Has(engine, kUrgent));
}

// Guards against a queue at the engine that grows without bound while prompts
// are short.
BOOST_AUTO_TEST_CASE(slots_bound_the_requests_at_an_engine) {
  for (int i = 0; i < 20; ++i)
    Add(1, false);
  BOOST_TEST(!room.Has(engine, kPatient));
  BOOST_TEST(room.Has(engine, kUrgent));
  for (int i = 0; i < 12; ++i)
    Add(1, false);
  BOOST_TEST(!room.Has(engine, kUrgent));
}

// Pattern: a burst of an urgent class. Guards against a higher tier that is
// shed while a lower one is served.
BOOST_AUTO_TEST_CASE(
    less_urgent_requests_yield_while_urgent_ones_find_no_room) {
  room.NoteNone(engine.pool, kUrgent, At(0));
  BOOST_TEST(room.MustYield(engine.pool, kPatient, At(100)));
  BOOST_TEST(!room.MustYield(engine.pool, kUrgent, At(100)));
  BOOST_TEST(!room.MustYield(PoolId("other"), kPatient, At(100)));
  const Instant later = At(0) + EngineRoom::kPrecedenceTime;
  BOOST_TEST(!room.MustYield(engine.pool, kPatient, later));
}

// Guards against a prediction that keeps a wrong speed, and against one that a
// frozen engine spoils.
BOOST_AUTO_TEST_CASE(the_speed_is_learned_from_first_tokens) {
  const PoolId pool("p");
  speed.Observe(pool, Tokens(100), Millis(1000));
  BOOST_TEST(speed.tokens_per_ms(pool) == ReadSpeed::kInitialTokensPerMs);
  for (int i = 0; i < 200; ++i)
    speed.Observe(pool, Tokens(20000), Millis(200));
  BOOST_TEST(speed.tokens_per_ms(pool) > 95);
  speed.Observe(pool, Tokens(20000), Millis(20000));
  BOOST_TEST(speed.tokens_per_ms(pool) > 90);
  BOOST_TEST(speed.TimeFor(pool, Tokens(10000)).count() < 115);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
