#include "gateway/duties/usage_seal.h"

#include <boost/test/unit_test.hpp>

#include "gateway/duties/usage_ledger.h"

namespace bamboomount {
namespace {

constexpr Millis kLength{5000};

UsageSeal MakeSeal(std::int64_t window, std::int64_t reported_through = 0) {
  return {WindowNumber(window),
          {{CustomerId("mill"), 3}},
          WindowNumber(reported_through)};
}

BOOST_AUTO_TEST_SUITE(usage_seal)

// Guards against a window that is sealed while instances still write their
// counts for it.
BOOST_AUTO_TEST_CASE(window_is_sealed_after_the_write_grace_period) {
  UsageSchedule schedule(kLength);
  for (std::int64_t window = 0; window < 10; ++window)
    schedule.MarkSealed(MakeSeal(window));
  const Millis end = kLength * 11;
  BOOST_TEST(
      !schedule.NextToSeal(end + UsageSchedule::kWriteGracePeriod - Millis(1)));
  const auto due = schedule.NextToSeal(end + UsageSchedule::kWriteGracePeriod);
  BOOST_TEST((due == WindowNumber(10)));
}

// Guards against a second report with different counts after a change of the
// lease holder: the new holder must report the counts that were sealed.
BOOST_AUTO_TEST_CASE(next_holder_reports_the_sealed_counts) {
  UsageSchedule schedule(kLength);
  schedule.Load({MakeSeal(10, 8), MakeSeal(11, 9)});
  BOOST_TEST((schedule.NextToReport()->window == WindowNumber(10)));
  BOOST_TEST(schedule.NextToReport()->counts.at(CustomerId("mill")) == 3);
  schedule.MarkReported(WindowNumber(10));
  BOOST_TEST((schedule.NextToReport()->window == WindowNumber(11)));
  schedule.MarkReported(WindowNumber(11));
  BOOST_TEST(!schedule.NextToReport());
}

// Guards against a second report of one window with other counts: the store
// came back from a copy without the window's seal, and the next holder sealed
// it again.
BOOST_AUTO_TEST_CASE(skipped_windows_are_not_sealed) {
  UsageSchedule schedule(kLength);
  const Millis last_is_10 = kLength * 11 + UsageSchedule::kWriteGracePeriod;
  BOOST_TEST((schedule.NextToSeal(last_is_10) == WindowNumber(7)));
  schedule.SkipThrough(WindowNumber(9));
  BOOST_TEST((schedule.NextToSeal(last_is_10) == WindowNumber(10)));
  schedule.SkipThrough(WindowNumber(10));
  BOOST_TEST(!schedule.NextToSeal(last_is_10));
  BOOST_TEST((schedule.NextToSeal(last_is_10 + kLength) == WindowNumber(11)));
}

// Guards against windows that are sealed again because the seals were read once
// more, or because an older limit came after a newer one.
BOOST_AUTO_TEST_CASE(skipped_windows_remain_skipped) {
  UsageSchedule schedule(kLength);
  schedule.SkipThrough(WindowNumber(9));
  schedule.Load({MakeSeal(6)});
  schedule.SkipThrough(WindowNumber(8));
  const Millis last_is_10 = kLength * 11 + UsageSchedule::kWriteGracePeriod;
  BOOST_TEST((schedule.NextToSeal(last_is_10) == WindowNumber(10)));
}

// Guards against instances that go on delivering the counts of windows that are
// never sealed.
BOOST_AUTO_TEST_CASE(sealed_through_includes_the_skipped_windows) {
  UsageSchedule schedule(kLength);
  schedule.Load({MakeSeal(6)});
  BOOST_TEST((schedule.sealed_through() == WindowNumber(6)));
  schedule.SkipThrough(WindowNumber(9));
  BOOST_TEST((schedule.sealed_through() == WindowNumber(9)));
  schedule.MarkSealed(MakeSeal(10));
  BOOST_TEST((schedule.sealed_through() == WindowNumber(10)));
}

// Guards against seals of old windows that accumulate in the store.
BOOST_AUTO_TEST_CASE(old_seals_are_outdated) {
  UsageSchedule schedule(kLength);
  schedule.MarkSealed(MakeSeal(1));
  schedule.MarkSealed(MakeSeal(50));
  const auto outdated = schedule.OutdatedSeals();
  BOOST_TEST(outdated.size() == 1U);
  BOOST_TEST((outdated.front() == WindowNumber(1)));
}

// Guards against counts that change when they are encoded and decoded, and
// against malformed rows that are accepted.
BOOST_AUTO_TEST_CASE(encoded_seal_decodes_to_the_same_value) {
  const UsageSeal seal = MakeSeal(7, 5);
  const auto read = DecodeSeal(EncodeSeal(seal));
  BOOST_TEST((read.value().window == seal.window));
  BOOST_TEST((read.value().counts == seal.counts));
  BOOST_TEST((read.value().reported_through == seal.reported_through));
  BOOST_TEST(!DecodeSeal("{}"));
}

// Guards against a ledger that grows for as long as the process runs, and
// against a wrong window index.
BOOST_AUTO_TEST_CASE(ledger_retains_few_windows) {
  UsageLedger ledger;
  for (std::int64_t window = 0; window < 100; ++window)
    ledger.RecordRequest(WindowNumber(window), CustomerId("mill"));
  BOOST_TEST(ledger.windows().size() ==
             static_cast<std::size_t>(UsageLedger::kRetainedWindows));
  BOOST_TEST((WindowAt(Millis(14999), kLength) == WindowNumber(2)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
