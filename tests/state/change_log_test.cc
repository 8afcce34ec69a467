#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>
#include <thread>

#include "state/log_fixture.h"

namespace bamboomount {
namespace {

std::shared_ptr<const ControlState> EmptyState() {
  return std::make_shared<const ControlState>();
}

// The states after each change, the empty one first.
std::vector<ControlState> Fold(const std::vector<Change>& changes) {
  std::vector<ControlState> states(1);
  for (const Change& change : changes)
    states.push_back(ApplyChange(states.back(), change).value());
  return states;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(change_log)

// Two routers that started at different times must agree on every rule.
BOOST_AUTO_TEST_CASE(catching_up_from_any_prefix_gives_the_same_state) {
  BOOST_TEST(rc::check([] {
    LogFixture fixture;
    const auto changes = fixture.AppendRandomChanges();
    const auto states = Fold(changes);
    const std::string last = EncodeControlState(states.back());
    const auto prefix = *rc::gen::inRange<std::size_t>(0, states.size());
    ChangeLog reader(fixture.table, fixture.objects);
    const auto caught_up = reader.CatchUp(
        std::make_shared<const ControlState>(states[prefix]), kTestTimeout);
    RC_ASSERT(caught_up.has_value());
    RC_ASSERT(!caught_up.value().interruption);
    RC_ASSERT(EncodeControlState(*caught_up.value().state) == last);
    RC_ASSERT(EncodeControlState(DecodeControlState(last).value()) == last);
    for (const Change& change : changes)
      RC_ASSERT(EncodeChange(DecodeChange(EncodeChange(change)).value()) ==
                EncodeChange(change));
  }));
}

// I5: a grant after a withdrawal would let a caller in again.
BOOST_AUTO_TEST_CASE(a_withdrawn_key_stays_withdrawn) {
  BOOST_TEST(rc::check([] {
    ControlState state;
    std::set<KeyId> withdrawn;
    const int count = *rc::gen::inRange(1, 60);
    for (int i = 1; i <= count; ++i) {
      const KeyId key("k" + std::to_string(*rc::gen::inRange(0, 4)));
      const KeyDigest digest("d" + std::to_string(*rc::gen::inRange(0, 4)));
      Change change{ChangeSequence(static_cast<std::uint64_t>(i)), "ANNA", 0,
                    KeyWithdrawn{key}};
      if (*rc::gen::arbitrary<bool>())
        change.body = KeyGranted{key, digest, CustomerId("c")};
      else if (FindKey(state, key) != nullptr)
        withdrawn.insert(key);
      std::set<KeyDigest> withdrawn_digests;
      for (const auto& [known, entry] : state.keys) {
        if (entry.withdrawn)
          withdrawn_digests.insert(known);
      }
      state = ApplyChange(state, change).value();
      for (const KeyDigest& known : withdrawn_digests)
        RC_ASSERT(state.keys.at(known).withdrawn);
      for (const KeyId& known : withdrawn)
        RC_ASSERT(FindKey(state, known)->withdrawn);
    }
  }));
}

// I13: a silent overwrite would lose the first operator's rules.
BOOST_AUTO_TEST_CASE(
    concurrent_config_changes_commit_one_and_reject_one_as_stale) {
  BOOST_TEST(rc::check([] {
    LogFixture fixture;
    RC_ASSERT(fixture.ApplyConfig("ANNA", 0).has_value());
    for (int i = *rc::gen::inRange(0, 3); i > 0; --i)
      fixture.table.faults.push_back(*rc::gen::element(
          CommitFault::kLostRequest, CommitFault::kLostResponse));
    std::optional<Result<AppendOutcome>> first;
    // Another router, hence another log object.
    ChangeLog other(fixture.table, fixture.objects);
    fixture.table.before_commit = [&] {
      first = other.Append(
          "BEAT", ConfigApplied{{}, ConfigVersion(1), ConfigTextFor("BEAT")},
          kTestTimeout);
    };
    const auto second = fixture.ApplyConfig("CARLA", 1);
    RC_ASSERT(first->has_value() != second.has_value());
    const auto& loser = second.has_value() ? *first : second;
    const std::string winner = second.has_value() ? "CARLA" : "BEAT";
    RC_ASSERT(loser.error().code == ErrorCode::kStaleBase);
    RC_ASSERT(loser.error().message.starts_with(winner + " was first"));
    const auto history = fixture.History();
    RC_ASSERT(history.size() == 2U);
    RC_ASSERT(history.back().author == winner);
    RC_ASSERT(std::get<ConfigApplied>(
                  fixture.log.ConfigChange(ConfigVersion(2), kTestTimeout)
                      .value()
                      .body)
                  .text == ConfigTextFor(winner));
  }));
}

// The same race with threads, which the sanitizers of a soak run watch.
BOOST_AUTO_TEST_CASE(concurrent_appends_lose_no_change) {
  LogFixture fixture;
  BOOST_REQUIRE(fixture.ApplyConfig("ANNA", 0).has_value());
  std::vector<std::thread> threads;
  threads.reserve(4);
  for (int t = 0; t < 4; ++t) {
    threads.emplace_back([&fixture, t] {
      ChangeLog log(fixture.table, fixture.objects);
      for (int i = 0; i < 10; ++i) {
        const auto name = std::to_string(t) + "-" + std::to_string(i);
        // Contention can outlast the time limit; the verdict then says so.
        while (!log.Append("ANNA", InstanceDrained{InstanceId(name)},
                           kTestTimeout)) {
        }
      }
    });
  }
  for (std::thread& thread : threads)
    thread.join();
  const auto state = fixture.log.CatchUp(EmptyState(), kTestTimeout).value();
  BOOST_TEST(state.state->drained.size() == 40U);
  BOOST_TEST(state.head.value() == 41U);
}

// A change that is appended twice, or reported as failed though it is in the
// log, would mislead the operator.
BOOST_AUTO_TEST_CASE(an_unknown_outcome_is_resolved_by_reading_back) {
  for (const auto fault :
       {CommitFault::kLostResponse, CommitFault::kLostRequest}) {
    LogFixture fixture;
    fixture.table.faults = {fault};
    const auto outcome = fixture.ApplyConfig("ANNA", 0);
    BOOST_REQUIRE(outcome.has_value());
    BOOST_TEST(outcome.value().state->sequence.value() == 1U);
    BOOST_TEST(fixture.History().size() == 1U);
  }
  LogFixture fixture;
  fixture.table.faults = {CommitFault::kNotSent};
  const auto refused = fixture.ApplyConfig("ANNA", 0);
  BOOST_REQUIRE(!refused.has_value());
  BOOST_TEST((refused.error().verdict == RunVerdict::kNotRun));
}

// Operators must hear what is wrong instead of changing the log.
BOOST_AUTO_TEST_CASE(invalid_changes_are_rejected_and_not_appended) {
  LogFixture fixture;
  BOOST_REQUIRE(fixture.ApplyConfig("ANNA", 0).has_value());
  BOOST_REQUIRE(fixture.Grant("k").has_value());
  BOOST_TEST((fixture.Grant("k").error().code == ErrorCode::kConflict));
  BOOST_TEST((fixture.Withdraw("x").error().code == ErrorCode::kNotFound));
  BOOST_TEST(
      (fixture.ApplyConfig("ANNA", 7).error().code == ErrorCode::kStaleBase));
  const auto bad = fixture.log.Append(
      "ANNA", ConfigApplied{{}, ConfigVersion(1), "{"}, kTestTimeout);
  BOOST_TEST((bad.error().code == ErrorCode::kInvalidConfig));
  BOOST_REQUIRE(fixture.Withdraw("k").has_value());
  BOOST_TEST(!fixture.Withdraw("k").value().change.has_value());
  BOOST_TEST(
      fixture.log.CatchUp(EmptyState(), kTestTimeout).value().head.value() ==
      3U);
}

// A start after thousands of changes must not read them all.
BOOST_AUTO_TEST_CASE(startup_reads_the_snapshot_and_at_most_65_rows) {
  LogFixture fixture;
  BOOST_REQUIRE(fixture.ApplyConfig("ANNA", 0).has_value());
  for (int i = 0; i < 200; ++i)
    BOOST_REQUIRE(fixture.Drain("i" + std::to_string(i)).has_value());
  fixture.table.reads = 0;
  ChangeLog reader(fixture.table, fixture.objects);
  const auto caught_up = reader.CatchUp(EmptyState(), kTestTimeout).value();
  BOOST_TEST(caught_up.state->sequence.value() == 201U);
  BOOST_TEST(fixture.table.reads <= 65);
  fixture.objects.objects["state-snapshot"] = "damaged";
  ChangeLog without(fixture.table, fixture.objects);
  BOOST_TEST(without.CatchUp(EmptyState(), kTestTimeout)
                 .value()
                 .state->sequence.value() == 201U);
}

// Years of versions must not be read to show the last ones.
BOOST_AUTO_TEST_CASE(history_reads_only_the_requested_versions) {
  LogFixture fixture;
  for (std::uint64_t base = 0; base < 9; ++base)
    BOOST_REQUIRE(fixture.ApplyConfig("ANNA", base).has_value());
  fixture.table.reads = 0;
  const auto entries =
      fixture.log.History(ConfigVersion(9), 3, kTestTimeout).value();
  BOOST_REQUIRE(entries.size() == 3U);
  BOOST_TEST(entries.front().version.value() == 7U);
  BOOST_TEST(entries.back().version.value() == 9U);
  BOOST_TEST(fixture.table.reads == 3);
}

// Bytes from another process must not throw through the message loop.
BOOST_AUTO_TEST_CASE(decoding_rejects_malformed_text) {
  for (const char* text : {"", "[]", "{\"kind\":\"x\"}", "{\"kind\":1}",
                           "{\"kind\":\"key_withdrawn\",\"key\":1}"}) {
    BOOST_TEST((DecodeChange(text).error().code == ErrorCode::kBadRequest));
    BOOST_TEST(
        (DecodeControlState(text).error().code == ErrorCode::kBadRequest));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bamboomount
