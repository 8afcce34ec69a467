#include <boost/test/unit_test.hpp>
#include <chrono>

#include "provider/provider.h"

namespace bamboomount {
namespace {

using std::chrono::seconds;

constexpr Millis kTimeout{1000};
const CustomerId kCustomer("verband");
const UsageTotals kOneRequest{1, Tokens(20), Tokens(300)};

struct Fixture {
  InMemoryTableStore store;
  std::chrono::system_clock::time_point now{seconds(600)};
  UsageRecorder recorder{store, InstanceId("r1"), {}, [this] { return now; }};

  std::optional<UsageRow> StoredRow(int window) {
    const auto row = store.Read(
        UsageRowKey(UsageWindow(window), recorder.writer()), kTimeout);
    if (!row.value())
      return std::nullopt;
    return UsageRow::Parse(row.value()->value);
  }
  void CloseWindow(int window) {
    (void)store.Commit(
        Transaction().Put(UsageClosedKey(UsageWindow(window)), "1"), kTimeout);
  }
};

BOOST_FIXTURE_TEST_SUITE(usage_recorder, Fixture)

BOOST_AUTO_TEST_CASE(rows_are_cumulative_and_final_after_the_window) {
  recorder.Record(kCustomer, kOneRequest);
  BOOST_TEST(recorder.Flush(kTimeout).has_value());
  BOOST_TEST(!StoredRow(10)->final);
  recorder.Record(kCustomer, kOneRequest);
  now = std::chrono::system_clock::time_point(seconds(661));
  BOOST_TEST(recorder.Flush(kTimeout).has_value());
  BOOST_TEST(StoredRow(10)->final);
  BOOST_TEST(StoredRow(10)->customers[kCustomer].requests == 2);
  BOOST_TEST(StoredRow(10)->customers[kCustomer].output_tokens == Tokens(600));
}

BOOST_AUTO_TEST_CASE(usage_after_the_close_goes_to_the_next_window_as_late) {
  recorder.Record(kCustomer, kOneRequest);
  BOOST_TEST(recorder.Flush(kTimeout).has_value());
  recorder.Record(kCustomer, kOneRequest);
  CloseWindow(10);
  now = std::chrono::system_clock::time_point(seconds(671));
  BOOST_TEST(recorder.Flush(kTimeout).has_value());
  BOOST_TEST(StoredRow(10)->customers[kCustomer].requests == 1);
  BOOST_TEST(StoredRow(11)->customers[kCustomer].requests == 1);
  BOOST_TEST(StoredRow(11)->late.requests == 1);
  BOOST_TEST(recorder.late_total().output_tokens == Tokens(300));
}

// The row is there although the answer was lost: moving its figures to the
// next window would charge the customer twice.
BOOST_AUTO_TEST_CASE(
    a_write_with_a_lost_response_before_the_close_counts_once) {
  recorder.Record(kCustomer, kOneRequest);
  store.SetFaults({.lost_commit_responses = 1});
  BOOST_TEST(recorder.Flush(kTimeout).has_error());
  store.SetFaults({});
  CloseWindow(10);
  now = std::chrono::system_clock::time_point(seconds(671));
  BOOST_TEST(recorder.Flush(kTimeout).has_value());
  BOOST_TEST(!StoredRow(11).has_value());
  BOOST_TEST(recorder.late_total().requests == 0);
}

// After retention nobody can tell whether the write counted; a customer must
// not be charged twice.
BOOST_AUTO_TEST_CASE(
    a_write_with_unknown_outcome_is_not_retried_after_retention) {
  recorder.Record(kCustomer, kOneRequest);
  store.SetFaults({.lost_commits = 1});
  BOOST_TEST(recorder.Flush(kTimeout).has_error());
  store.SetFaults({});
  now = std::chrono::system_clock::time_point(seconds(600 + 60 * 11));
  BOOST_TEST(recorder.Flush(kTimeout).has_value());
  BOOST_TEST(recorder.late_total().requests == 0);
}

BOOST_AUTO_TEST_CASE(totals_are_kept_through_an_outage) {
  recorder.Record(kCustomer, kOneRequest);
  store.SetFaults({.outage = true});
  BOOST_TEST(recorder.Flush(kTimeout).has_error());
  store.SetFaults({});
  BOOST_TEST(recorder.Flush(kTimeout).has_value());
  BOOST_TEST(StoredRow(10)->customers[kCustomer].requests == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
