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

// Guards against errors in the pruning of confirmations, which could make a
// stale state fresh or a fresh one stale. Compares with the definition: a state
// is confirmed if a confirmation of a sequence that it includes lies within the
// window.
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

// docs/design.md, section 6, condition (b). Guards against counting half of the
// instances, expired reports or unknown instances as a majority: exactly half
// of the instances may be the half that a key withdrawal has not reached.
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

// Guards against a majority of peers hiding that the state is behind the store
// while the store responds.
BOOST_AUTO_TEST_CASE(a_majority_does_not_count_while_the_store_responds) {
  FreshnessRule rule(kSelf);
  const BootTime now = seconds(100);
  rule.OnInstanceList({kSelf, kPeer});
  rule.OnPeerReport(kPeer, {Sequence(1), {}}, now);
  rule.OnStoreResponse(Sequence(2), now);
  BOOST_TEST((rule.Check(Sequence(1), now) == Freshness::kStale));
}

// Guards against serving by majority while a peer has reported a higher
// sequence: the missing change may be the withdrawal of a key.
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
