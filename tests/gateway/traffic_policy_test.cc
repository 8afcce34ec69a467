#include "gateway/traffic/traffic_policy.h"

#include <boost/test/unit_test.hpp>
#include <optional>

namespace bamboomount {
namespace {

Route MakeRoute(const std::string& name,
                const std::string& host,
                const std::string& prefix) {
  Route route;
  route.name = name;
  route.host = host;
  route.prefix = prefix;
  route.shares = {{PoolId("p"), 1}};
  return route;
}

BOOST_AUTO_TEST_SUITE(traffic_policy)

// Guards against a request that is served by a route with a shorter matching
// prefix.
BOOST_AUTO_TEST_CASE(the_longest_prefix_wins) {
  const auto policy = TrafficPolicy::Builder(ConfigVersion(1))
                          .AddRoute(MakeRoute("short", "h.example", "/a/"))
                          .AddRoute(MakeRoute("long", "h.example", "/a/b/"))
                          .Build();
  BOOST_TEST(policy->FindRoute("h.example", "/a/b/c")->name == "long");
  BOOST_TEST(policy->FindRoute("h.example", "/a/bc")->name == "short");
  BOOST_TEST(policy->FindRoute("h.example", "/a/")->name == "short");
  BOOST_TEST(!policy->FindRoute("h.example", "/a"));
  BOOST_TEST(!policy->FindRoute("h.example", "/b/"));
}

// Guards against a route of one host that serves requests for another host, and
// against lookups that depend on the case or the port of the host.
BOOST_AUTO_TEST_CASE(routes_belong_to_their_host) {
  const auto policy = TrafficPolicy::Builder(ConfigVersion(1))
                          .AddRoute(MakeRoute("r", "h.example", "/a/"))
                          .Build();
  BOOST_TEST(policy->FindRoute("H.Example:8080", "/a/x")->name == "r");
  BOOST_TEST(!policy->FindRoute("other.example", "/a/x"));
}

// Guards against traffic that is not split by weight, in particular requests
// sent to a pool whose weight is zero.
BOOST_AUTO_TEST_CASE(pools_are_chosen_by_weight) {
  Route route = MakeRoute("r", "h", "/");
  route.shares = {{PoolId("a"), 90}, {PoolId("b"), 10}, {PoolId("c"), 0}};
  BOOST_TEST(route.ChoosePool(0.0) == PoolId("a"));
  BOOST_TEST(route.ChoosePool(0.899) == PoolId("a"));
  BOOST_TEST(route.ChoosePool(0.901) == PoolId("b"));
  BOOST_TEST(route.ChoosePool(0.999) == PoolId("b"));
}

// Guards against lookups that accept an unknown or empty key, or ignore the
// case of a key.
BOOST_AUTO_TEST_CASE(only_listed_keys_are_found) {
  const auto policy = TrafficPolicy::Builder(ConfigVersion(1))
                          .AddKey("secret", {CustomerId("mill"), Tier(1)})
                          .Build();
  BOOST_TEST(policy->has_customers());
  BOOST_TEST(policy->FindKey("secret")->customer == CustomerId("mill"));
  BOOST_TEST(!policy->FindKey("Secret"));
  BOOST_TEST(!policy->FindKey(""));
}

// Guards against a live conversation that is preempted while a long question of
// a customer with the same tier continues. It happens if only the customers'
// tiers are compared and not those of the routes (hfc-brabant).
BOOST_AUTO_TEST_CASE(the_routes_tier_decides_among_equal_customers) {
  Route talk = MakeRoute("talk", "h", "/talk/");
  talk.tier = Tier(0);
  Route question = MakeRoute("question", "h", "/question/");
  question.tier = Tier(2);
  const auto policy = TrafficPolicy::Builder(ConfigVersion(1))
                          .AddRoute(talk)
                          .AddRoute(question)
                          .AddKey("high", {CustomerId("a"), Tier(0)})
                          .AddKey("low", {CustomerId("b"), Tier(1)})
                          .Build();
  const auto urgency = [&](const Route& route, std::optional<Tier> customer) {
    return policy->Urgency(route, customer).value();
  };
  BOOST_TEST(urgency(talk, Tier(1)) < urgency(question, Tier(1)));
  BOOST_TEST(urgency(talk, Tier(0)) < urgency(question, Tier(0)));
  // The customer's tier takes precedence over the route's.
  BOOST_TEST(urgency(question, Tier(0)) < urgency(talk, Tier(1)));
  // Without a customer tier, the route's tier replaces it.
  BOOST_TEST(urgency(talk, std::nullopt) <= urgency(question, Tier(0)));
  BOOST_TEST(urgency(question, std::nullopt) > urgency(talk, Tier(1)));
  BOOST_TEST(urgency(question, std::nullopt) < policy->urgency_levels());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
