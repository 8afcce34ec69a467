#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <set>

#include "policy/policy.h"

namespace bamboomount {
namespace {

constexpr int kStride = 16;
constexpr int kBacklog = 3;

SlotRequest MakeRequest(int id, int tier, int customer) {
  SlotRequest request;
  request.request = RequestId(std::to_string(id));
  request.tier = Tier(tier);
  request.class_id = ClassId("class" + std::to_string(tier));
  request.customer = CustomerId("c" + std::to_string(customer));
  return request;
}

// A cell with one slot. Each step grants one request and finishes it.
class OneSlotCell {
 public:
  OneSlotCell() {
    cell_.SetBackends({{BackendId("b"), ZoneId("z"), false, 1}}, now_);
  }
  void Enqueue(const SlotRequest& request) {
    cell_.Enqueue(request, now_);
    waiting_.emplace(request.request, request);
  }
  SlotRequest Step() {
    const auto decisions = cell_.Decide(now_);
    RC_ASSERT(decisions.size() == 1U);
    RC_ASSERT(decisions[0].backend.has_value());
    const auto granted = waiting_.extract(decisions[0].request);
    const Tokens produced =
        granted.mapped().max_output_tokens.value_or(Tokens(256));
    now_ += Millis(10);
    // Cancelled requests do not change the estimates that the costs come from.
    cell_.Finish(granted.key(),
                 {SlotEnd::kCancelled, produced, Millis(1), Millis(9)}, now_);
    return granted.mapped();
  }

 private:
  CellScheduler cell_;
  SteadyTime now_{std::chrono::hours(1)};
  std::map<RequestId, SlotRequest> waiting_;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(fairness)

// Guards against a class that gets nothing while higher tiers burst.
RC_BOOST_PROP(each_waiting_class_gets_a_grant_within_the_starvation_bound, ()) {
  const int classes = *rc::gen::inRange(2, 7);
  OneSlotCell cell;
  int next_id = 0;
  for (int tier = 0; tier < classes; ++tier) {
    for (int i = 0; i < kBacklog; ++i)
      cell.Enqueue(MakeRequest(next_id++, tier, *rc::gen::inRange(0, 4)));
  }
  std::vector<int> last_grant(classes, 0);
  for (int grant = 1; grant <= 4 * kStride * classes; ++grant) {
    const int tier = cell.Step().tier.value();
    last_grant[tier] = grant;
    cell.Enqueue(MakeRequest(next_id++, tier, grant % 4));
    const int longest =
        grant - *std::min_element(last_grant.begin(), last_grant.end());
    RC_ASSERT(longest <= kStride * classes);
  }
}

// Guards against a flood of one customer that sheds requests of others: what
// it runs counts too, and a larger share may have more work.
RC_BOOST_PROP(shedding_picks_the_customer_with_the_most_work_per_share, ()) {
  CellScheduler cell;
  SteadyTime now{std::chrono::hours(1)};
  const int slots = *rc::gen::inRange(1, 4);
  cell.SetBackends({{BackendId("b"), ZoneId("z"), false, slots}}, now);
  const int share = *rc::gen::inRange(1, 4);
  const int waiting = *rc::gen::inRange(1, 4);
  int next_id = 0;
  // Customer 0 has share 1 and fills the slots.
  const auto enqueue = [&](int customer) {
    SlotRequest request = MakeRequest(next_id++, 0, customer);
    request.queue_limit = (1 + share) * waiting - 1;
    request.share = customer == 0 ? 1 : share;
    cell.Enqueue(request, now);
    return request.request;
  };
  for (int i = 0; i < slots; ++i)
    enqueue(0);
  cell.Decide(now);
  std::set<RequestId> flood_requests;
  for (int i = 0; i < waiting; ++i)
    flood_requests.insert(enqueue(0));
  for (int i = 0; i < share * waiting; ++i)
    enqueue(1);
  const auto decisions = cell.Decide(now);
  RC_ASSERT(decisions.size() == 1U);
  RC_ASSERT(flood_requests.contains(decisions[0].request));
}

// Guards against a class that is shed before its guaranteed grant comes,
// while the tier above is overloaded.
RC_BOOST_PROP(higher_tier_burst_does_not_shed_the_guaranteed_grant, ()) {
  CellScheduler cell;
  SteadyTime now{std::chrono::hours(1)};
  cell.SetBackends({{BackendId("b"), ZoneId("z"), false, 1}}, now);
  cell.Enqueue(MakeRequest(0, 1, 0), now);
  const int burst = *rc::gen::inRange(2, 10);
  int next_id = 1;
  for (int grant = 0; grant < 2 * kStride; ++grant) {
    for (int i = 0; i < burst; ++i) {
      SlotRequest high_tier_request = MakeRequest(next_id++, 0, i);
      high_tier_request.queue_limit = 1;
      high_tier_request.first_token_target = Millis(20);
      cell.Enqueue(high_tier_request, now);
    }
    for (const SlotDecision& decision : cell.Decide(now)) {
      if (decision.request == RequestId("0"))
        RC_ASSERT(decision.backend.has_value());
      if (!decision.backend)
        continue;
      if (decision.request == RequestId("0"))
        return;
      now += Millis(10);
      cell.Finish(decision.request,
                  {SlotEnd::kCompleted, Tokens(10), Millis(5), Millis(5)}, now);
    }
  }
  RC_FAIL("no grant within the bound");
}

// Guards against a guaranteed share that grows beyond one grant in 16.
RC_BOOST_PROP(the_highest_tier_keeps_fifteen_of_sixteen_grants, ()) {
  const int classes = *rc::gen::inRange(2, 7);
  OneSlotCell cell;
  int next_id = 0;
  for (int tier = 0; tier < classes; ++tier) {
    for (int i = 0; i < kBacklog; ++i)
      cell.Enqueue(MakeRequest(next_id++, tier, 0));
  }
  int highest = 0;
  for (int grant = 0; grant < 10 * kStride; ++grant) {
    const int tier = cell.Step().tier.value();
    highest += tier == 0 ? 1 : 0;
    cell.Enqueue(MakeRequest(next_id++, tier, 0));
  }
  RC_ASSERT(highest >= 10 * (kStride - 1));
}

// Guards against customers that get more by sending more or longer requests.
RC_BOOST_PROP(customers_get_tokens_in_proportion_to_share, ()) {
  const int customers = *rc::gen::inRange(2, 6);
  std::vector<double> shares;
  shares.reserve(customers);
  for (int i = 0; i < customers; ++i)
    shares.push_back(*rc::gen::inRange(1, 6));
  constexpr int kMaxCost = 900;
  OneSlotCell cell;
  int next_id = 0;
  const auto enqueue = [&](int customer) {
    SlotRequest request = MakeRequest(next_id++, 0, customer);
    request.share = shares[customer];
    request.prompt_tokens = Tokens(*rc::gen::inRange(1, kMaxCost - 200));
    request.max_output_tokens = Tokens(*rc::gen::inRange(1, 200));
    cell.Enqueue(request);
  };
  for (int customer = 0; customer < customers; ++customer) {
    // The first customer floods the cell.
    for (int i = 0; i < (customer == 0 ? 20 : 1) * kBacklog; ++i)
      enqueue(customer);
  }
  std::vector<double> served(customers, 0);
  for (int grant = 0; grant < 400; ++grant) {
    const SlotRequest request = cell.Step();
    const int customer = std::stoi(request.customer.value().substr(1));
    const Tokens cost = request.prompt_tokens + *request.max_output_tokens;
    served[customer] += static_cast<double>(cost.value()) / shares[customer];
    enqueue(customer);
  }
  const auto [least, most] = std::minmax_element(served.begin(), served.end());
  // Deficit round robin keeps customers within two quanta of each other.
  RC_ASSERT(*most - *least <= 2.0 * kMaxCost);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bamboomount
