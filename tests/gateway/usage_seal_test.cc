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

// Guards against a window that is sealed while instances still count in it.
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

// Guards against a second report with other figures after the holder changed:
// a sealed window is reported as it was sealed.
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

// Guards against seals that pile up in the store.
BOOST_AUTO_TEST_CASE(old_seals_are_outdated) {
  UsageSchedule schedule(kLength);
  schedule.MarkSealed(MakeSeal(1));
  schedule.MarkSealed(MakeSeal(50));
  const auto outdated = schedule.OutdatedSeals();
  BOOST_TEST(outdated.size() == 1U);
  BOOST_TEST((outdated.front() == WindowNumber(1)));
}

// Guards against figures that change on their way through the store.
BOOST_AUTO_TEST_CASE(encoded_seal_decodes_to_the_same_value) {
  const UsageSeal seal = MakeSeal(7, 5);
  const auto read = DecodeSeal(EncodeSeal(seal));
  BOOST_TEST((read.value().window == seal.window));
  BOOST_TEST((read.value().counts == seal.counts));
  BOOST_TEST((read.value().reported_through == seal.reported_through));
  BOOST_TEST(!DecodeSeal("{}"));
}

// Guards against a ledger that grows for as long as the process runs.
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
