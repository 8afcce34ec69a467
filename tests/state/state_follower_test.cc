#include <rapidcheck.h>
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <condition_variable>

#include "state/log_fixture.h"

namespace bamboomount {
namespace {

using std::chrono::seconds;

struct FollowerFixture : LogFixture {
  BootTime now = seconds(1000);
  ControlStateHolder holder;
  StateFollower follower{log, holder, {.self = InstanceId("a"), .now = [this] {
                                         return now;
                                       }}};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(state_follower)

// Invariant I13. Guards against a router returning to an older configuration
// when pushed changes arrive out of order, more than once or not at all. Also
// checks that a peer at any earlier state reaches the same one from
// ChangesAfter.
BOOST_AUTO_TEST_CASE(state_never_regresses_under_reorder_duplication_and_loss) {
  BOOST_TEST(rc::check([] {
    FollowerFixture fixture;
    const auto changes = fixture.AppendRandomChanges();
    std::vector<ControlState> states(1);
    for (const Change& change : changes)
      states.push_back(ApplyChange(states.back(), change).value());
    ChangeSequence last;
    const int steps = *rc::gen::inRange(1, 200);
    for (int i = 0; i < steps; ++i) {
      const auto pick = *rc::gen::inRange<std::size_t>(0, changes.size());
      const int action = *rc::gen::inRange(0, 40);
      if (action == 0)
        (void)fixture.follower.PollOnce();
      else if (action == 1)
        fixture.follower.OfferState(
            std::make_shared<const ControlState>(states[pick]));
      else
        fixture.follower.OfferChange(changes[pick]);
      const auto state = fixture.holder.current();
      RC_ASSERT(state->sequence >= last);
      last = state->sequence;
      RC_ASSERT(EncodeControlState(*state) ==
                EncodeControlState(states[last.value()]));
      // A peer at any earlier state reaches this one from ChangesAfter.
      FollowerFixture peer;
      peer.follower.OfferState(std::make_shared<const ControlState>(
          states[std::min<std::size_t>(pick, last.value())]));
      for (const Change& change :
           fixture.follower.ChangesAfter(peer.holder.current()->sequence))
        peer.follower.OfferChange(DecodeChange(EncodeChange(change)).value());
      RC_ASSERT(EncodeControlState(*peer.holder.current()) ==
                EncodeControlState(*state));
    }
    RC_ASSERT(fixture.follower.PollOnce().has_value());
    RC_ASSERT(fixture.holder.current()->sequence.value() == changes.size());
  }));
}

// Guards against a router that stays behind after a push was lost: the gap must
// be reported to the listener and filled without waiting for the next poll.
BOOST_AUTO_TEST_CASE(a_gap_is_reported_and_filled_from_the_store) {
  LogFixture fixture;
  ControlStateHolder holder;
  std::mutex mutex;
  std::condition_variable advanced;
  holder.AddListener([&](const auto&) {
    const std::lock_guard lock(mutex);
    advanced.notify_all();
  });
  // One hour, so that only the gap can start the second poll.
  StateFollower follower(
      fixture.log, holder,
      {.self = InstanceId("a"), .poll_interval = Millis(3600000)});
  std::optional<ChangeSequence> gap_after;
  follower.SetGapListener([&](ChangeSequence after) { gap_after = after; });
  BOOST_REQUIRE(fixture.ApplyConfig("ANNA", 0).has_value());
  BOOST_REQUIRE(fixture.Drain("x").has_value());
  follower.Start();
  const auto wait_for = [&](std::uint64_t sequence) {
    std::unique_lock lock(mutex);
    advanced.wait(lock, [&] {
      return holder.current()->sequence == ChangeSequence(sequence);
    });
  };
  wait_for(2);
  BOOST_REQUIRE(fixture.Drain("y").has_value());
  const auto last = fixture.Drain("z");
  follower.OfferChange(*last.value().change);
  wait_for(4);
  BOOST_REQUIRE(gap_after.has_value());
  BOOST_TEST(gap_after->value() == 2U);
  follower.Stop();
}

// Guards against a router that accepts withdrawn keys for longer than the
// freshness window after it lost its connection to the store, and against one
// that does not become fresh again by a majority of peers or a later poll.
BOOST_AUTO_TEST_CASE(freshness_follows_polls_and_peers) {
  FollowerFixture fixture;
  StateFollower& follower = fixture.follower;
  BOOST_TEST((follower.freshness() == Freshness::kStale));
  BOOST_TEST(!follower.store_reachable());
  BOOST_REQUIRE(fixture.ApplyConfig("ANNA", 0).has_value());
  BOOST_REQUIRE(follower.PollOnce().has_value());
  BOOST_TEST((follower.freshness() == Freshness::kConfirmed));
  BOOST_TEST(follower.store_reachable());
  fixture.now += seconds(3);
  BOOST_TEST((follower.confirmation_age().value() == seconds(3)));
  fixture.table.unavailable = true;
  BOOST_TEST(!follower.PollOnce().has_value());
  BOOST_TEST(!follower.store_reachable());
  BOOST_TEST((follower.freshness() == Freshness::kConfirmed));
  fixture.now += seconds(2);
  BOOST_TEST((follower.freshness() == Freshness::kStale));
  follower.OnInstanceList({InstanceId("a"), InstanceId("b"), InstanceId("c")});
  follower.OnPeerReport(InstanceId("b"), {ChangeSequence(1), {}}, fixture.now);
  BOOST_TEST((follower.freshness() == Freshness::kMajority));
  fixture.table.unavailable = false;
  BOOST_REQUIRE(follower.PollOnce().has_value());
  BOOST_TEST((follower.freshness() == Freshness::kConfirmed));
}

// docs/design.md, section 6. Guards against a router that cannot get its state
// when it starts during a store outage and its peers no longer retain the old
// changes: they must send a snapshot. The log must not accept a snapshot.
BOOST_AUTO_TEST_CASE(
    startup_during_a_store_outage_loads_a_snapshot_from_a_peer) {
  FollowerFixture fixture;
  BOOST_REQUIRE(fixture.ApplyConfig("ANNA", 0).has_value());
  for (int i = 0; i < 100; ++i)
    BOOST_REQUIRE(fixture.Drain("i" + std::to_string(i)).has_value());
  BOOST_REQUIRE(fixture.follower.PollOnce().has_value());
  FollowerFixture starting;
  starting.table.unavailable = true;
  const auto offered = fixture.follower.ChangesAfter(ChangeSequence(0));
  BOOST_REQUIRE(offered.size() == 1U);
  starting.follower.OfferChange(offered.front());
  BOOST_TEST(starting.holder.current()->sequence.value() == 101U);
  BOOST_TEST(EncodeControlState(*starting.holder.current()) ==
             EncodeControlState(*fixture.holder.current()));
  // A snapshot can neither be applied as a change nor appended to the log.
  BOOST_TEST(!ApplyChange(ControlState(), offered.front()).has_value());
  BOOST_TEST((fixture.log.Append("ANNA", offered.front().body, kTestTimeout)
                  .error()
                  .code == ErrorCode::kBadRequest));
}

// Guards against a router that cannot apply a change, for example because its
// software is too old, and still serves as fresh: it would accept keys that
// later changes withdraw.
BOOST_AUTO_TEST_CASE(a_change_that_cannot_be_applied_makes_the_state_stale) {
  FollowerFixture fixture;
  StateFollower& follower = fixture.follower;
  BOOST_REQUIRE(fixture.ApplyConfig("ANNA", 0).has_value());
  BOOST_REQUIRE(follower.PollOnce().has_value());
  Change inapplicable{ChangeSequence(2), "ANNA", 0,
                      ConfigApplied{ConfigVersion(2), ConfigVersion(1), "{"}};
  BOOST_REQUIRE(fixture.table
                    .Commit(Transaction()
                                .Put("change/head", "2")
                                .Put("change/00000000000000000002",
                                     EncodeChange(inapplicable)),
                            kTestTimeout)
                    .has_value());
  BOOST_TEST((follower.PollOnce().error().code == ErrorCode::kInvalidConfig));
  BOOST_TEST(fixture.holder.current()->sequence.value() == 1U);
  fixture.now += seconds(5);
  BOOST_TEST((follower.freshness() == Freshness::kStale));
  // It stays stale by majority too, when the store fails afterwards.
  fixture.table.unavailable = true;
  BOOST_TEST(!follower.PollOnce().has_value());
  follower.OnInstanceList({InstanceId("a"), InstanceId("b"), InstanceId("c")});
  follower.OnPeerReport(InstanceId("b"), {ChangeSequence(1), {}}, fixture.now);
  BOOST_TEST((follower.freshness() == Freshness::kStale));
}

// Invariant I13. Guards against rules being rolled back when the store is
// restored from an older backup: the state is kept and appends fail.
BOOST_AUTO_TEST_CASE(a_log_shorter_than_the_state_does_not_roll_it_back) {
  FollowerFixture fixture;
  BOOST_REQUIRE(fixture.ApplyConfig("ANNA", 0).has_value());
  BOOST_REQUIRE(fixture.Drain("x").has_value());
  BOOST_REQUIRE(fixture.follower.PollOnce().has_value());
  BOOST_REQUIRE(
      fixture.table.Commit(Transaction().Put("change/head", "1"), kTestTimeout)
          .has_value());
  BOOST_TEST(
      (fixture.follower.PollOnce().error().code == ErrorCode::kConflict));
  BOOST_TEST(fixture.holder.current()->sequence.value() == 2U);
  BOOST_TEST(!fixture.Drain("y").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bamboomount
