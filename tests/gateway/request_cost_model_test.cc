#include "gateway/admission/request_cost_model.h"

#include <boost/test/unit_test.hpp>

namespace bamboomount {
namespace {

CostQuery PlainQuery() {
  CostQuery query;
  query.pool = PoolId("p");
  query.route = "r";
  query.target_latency = Millis(120);
  return query;
}

BOOST_AUTO_TEST_SUITE(request_cost_model)

// Guards against an instance that admits everything, or nothing, before its
// first answers.
BOOST_AUTO_TEST_CASE(the_target_latency_is_taken_before_the_first_answer) {
  const PrefillThroughput throughput;
  const RequestCostModel model(throughput);
  BOOST_TEST(model.ServerSeconds(PlainQuery(), 6) == 0.02);
}

// Load: a plain service with long queues. Guards against a cost that contains
// the wait in the queue, so that overload shrinks the capacity further.
BOOST_AUTO_TEST_CASE(answers_of_full_servers_do_not_raise_the_cost) {
  const PrefillThroughput throughput;
  RequestCostModel model(throughput);
  model.RecordAnswer(PlainQuery(), Millis(30), false);
  model.RecordAnswer(PlainQuery(), Millis(900), true);
  BOOST_TEST(model.ServerSeconds(PlainQuery(), 6) == 0.005);
}

// Load: prompts that are large for the memory of an engine. Guards against a
// cost that looks at slots alone, so that running requests are preempted.
BOOST_AUTO_TEST_CASE(a_large_prompt_costs_the_memory_that_it_holds) {
  const PrefillThroughput throughput;
  RequestCostModel model(throughput);
  const EngineTraits engine{16, Tokens(100'000), 6};
  CostQuery query = PlainQuery();
  query.engine = &engine;
  query.prefill_tokens = Tokens(1000);
  query.memory_tokens = Tokens(50'000);
  model.RecordAnswer(query, Millis(1000), false);
  BOOST_TEST(model.ServerSeconds(query, 16) == 0.5);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
