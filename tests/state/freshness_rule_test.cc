#include <rapidcheck.h>
#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "state/freshness_rule.h"

namespace bamboomount {
namespace {

using std::chrono::seconds;

const InstanceId kSelf("a");
const InstanceId kPeer("b");
const std::set<InstanceId> kFiveInstances = {InstanceId("a"), InstanceId("b"),
                                             InstanceId("c"), InstanceId("d"),
                                             InstanceId("e")};

ChangeSequence Sequence(std::uint64_t value) {
  return ChangeSequence(value);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(freshness_rule)

// Compares with the plain definition: some confirmation of a sequence that the
// state includes lies within the window.
BOOST_AUTO_TEST_CASE(confirmed_freshness_matches_a_reference_model) {
  BOOST_TEST(rc::check([] {
    FreshnessRule rule(kSelf);
    std::vector<std::pair<ChangeSequence, BootTime>> confirmations;
    BootTime now = seconds(100);
    const int steps = *rc::gen::inRange(1, 40);
    for (int i = 0; i < steps; ++i) {
      const auto sequence = Sequence(*rc::gen::inRange<std::uint64_t>(0, 6));
      const BootTime age = Millis(*rc::gen::inRange(0, 6000));
      if (*rc::gen::arbitrary<bool>())
        rule.OnStoreResponse(sequence, now - age);
      else
        rule.OnPeerReport(kPeer, {sequence, age}, now);
      confirmations.emplace_back(sequence, now - age);
      now += Millis(*rc::gen::inRange(0, 3000));
      for (std::uint64_t own = 0; own < 7; ++own) {
        const bool fresh = std::any_of(
            confirmations.begin(), confirmations.end(), [&](const auto& c) {
              return c.first <= Sequence(own) &&
                     now - c.second <= FreshnessRule::kDefaultWindow;
            });
        RC_ASSERT((rule.Check(Sequence(own), now) == Freshness::kConfirmed) ==
                  fresh);
      }
    }
  }));
}

// Section 6, condition (b): half of the instances may be the half that never
// heard of the withdrawal.
BOOST_AUTO_TEST_CASE(only_a_strict_majority_within_the_window_counts) {
  FreshnessRule rule(kSelf);
  const BootTime now = seconds(100);
  rule.OnStoreUnavailable();
  BOOST_TEST((rule.Check(Sequence(1), now) == Freshness::kStale));
  rule.OnInstanceList(kFiveInstances);
  rule.OnPeerReport(kPeer, {Sequence(1), {}}, now);
  rule.OnPeerReport(InstanceId("stranger"), {Sequence(1), {}}, now);
  BOOST_TEST((rule.Check(Sequence(1), now) == Freshness::kStale));
  rule.OnPeerReport(InstanceId("c"), {Sequence(1), {}}, now);
  BOOST_TEST((rule.Check(Sequence(1), now) == Freshness::kMajority));
  BOOST_TEST((rule.Check(Sequence(1), now + seconds(5)) == Freshness::kStale));
}

// While the store answers, a majority must not hide that the state is behind.
BOOST_AUTO_TEST_CASE(a_majority_does_not_count_while_the_store_responds) {
  FreshnessRule rule(kSelf);
  const BootTime now = seconds(100);
  rule.OnInstanceList({kSelf, kPeer});
  rule.OnPeerReport(kPeer, {Sequence(1), {}}, now);
  rule.OnStoreResponse(Sequence(2), now);
  BOOST_TEST((rule.Check(Sequence(1), now) == Freshness::kStale));
}

// The change that a router lacks may be the withdrawal.
BOOST_AUTO_TEST_CASE(a_state_known_to_be_behind_is_not_fresh_by_majority) {
  FreshnessRule rule(kSelf);
  const BootTime now = seconds(100);
  rule.OnInstanceList({kSelf, kPeer});
  rule.OnStoreUnavailable();
  rule.OnPeerReport(kPeer, {Sequence(2), {}}, now);
  BOOST_TEST((rule.Check(Sequence(1), now) == Freshness::kStale));
  BOOST_TEST((rule.Check(Sequence(2), now) == Freshness::kMajority));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bamboomount
