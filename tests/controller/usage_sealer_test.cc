#include <boost/test/unit_test.hpp>
#include <map>

#include "controller/controller.h"

namespace bamboomount {
namespace {

using std::chrono::nanoseconds;
using std::chrono::seconds;

constexpr Millis kTimeout{1000};

class NoGuard : public LeaseGuard {
 public:
  void Arm(nanoseconds) override {}
  void Disarm() override {}
};

class RecordingReports : public UsageReports {
 public:
  Result<void> Submit(const UsageReport& report, Millis) override {
    reports.push_back(report);
    if (refuse_as_stale) {
      return Error{ErrorCode::kConflict, RunVerdict::kNotRun,
                   "stale fencing token", std::nullopt};
    }
    return Success();
  }
  std::vector<UsageReport> reports;
  bool refuse_as_stale = false;
};

struct Fixture {
  InMemoryTableStore store;
  NoGuard guard;
  RecordingReports received;
  nanoseconds now{seconds(600)};
  LeaseManager lease{store, guard, InstanceId("a"), {}, [this] { return now; }};
  UsageSealer sealer{store, received, lease, {}, [this] {
                       return std::chrono::system_clock::time_point(now);
                     }};

  void PutRow(UsageWindow window, const std::string& writer, bool final) {
    UsageRow row;
    row.customers[CustomerId("k")] = {1, Tokens(2), Tokens(3)};
    row.final = final;
    (void)store.Commit(
        Transaction().Put(UsageRowKey(window, writer), row.ToText()), kTimeout);
  }
  // Seals and reports all windows that are due.
  void SealAndReportDueWindows() {
    lease.Step();
    while (sealer.Step()) {
    }
  }
  // Acquires the lease after its former tenure has expired, then continues.
  void TakeOverAfterRestore() {
    now += seconds(2);
    lease.Step();
    lease.Step();
    now += seconds(7);
    SealAndReportDueWindows();
    BOOST_REQUIRE(lease.holds());
  }
};

BOOST_FIXTURE_TEST_SUITE(usage_sealer, Fixture)

// A report before the close delay would miss usage that routers write late; a
// second one would bill it twice.
BOOST_AUTO_TEST_CASE(a_window_is_reported_after_its_close_and_once) {
  PutRow(UsageWindow(10), "r1", true);
  PutRow(UsageWindow(10), "r2", false);
  now = seconds(669);
  SealAndReportDueWindows();
  BOOST_TEST(received.reports.empty());
  now = seconds(670);
  SealAndReportDueWindows();
  SealAndReportDueWindows();
  BOOST_REQUIRE(received.reports.size() == 1U);
  BOOST_TEST(received.reports[0].window == UsageWindow(10));
  BOOST_TEST(received.reports[0].requests == 2);
  BOOST_TEST(received.reports[0].output_tokens == Tokens(6));
  BOOST_TEST(received.reports[0].fencing_token == FencingToken(1));
  const auto sealed =
      store.Read(UsageSealedKey(UsageWindow(10)), kTimeout).value();
  BOOST_TEST(SealedUsage::Parse(sealed->value)->unfinished_writers == 1);
}

// Sealed totals may already have been reported, so totals summed up again could
// contradict them.
BOOST_AUTO_TEST_CASE(totals_sealed_earlier_are_reported_unchanged) {
  SealedUsage sealed;
  sealed.customers[CustomerId("k")] = {7, Tokens(8), Tokens(9)};
  (void)store.Commit(Transaction()
                         .Put(UsageClosedKey(UsageWindow(10)), "1")
                         .Put(UsageSealedKey(UsageWindow(10)), sealed.ToText()),
                     kTimeout);
  PutRow(UsageWindow(10), "r1", true);
  now = seconds(670);
  SealAndReportDueWindows();
  BOOST_REQUIRE(received.reports.size() == 1U);
  BOOST_TEST(received.reports[0].requests == 7);
}

// The platform refuses a stale token because another instance has acquired the
// lease; a holder that ignored this would continue to act.
BOOST_AUTO_TEST_CASE(a_stale_fencing_token_makes_the_holder_step_down) {
  PutRow(UsageWindow(10), "r1", true);
  now = seconds(670);
  received.refuse_as_stale = true;
  SealAndReportDueWindows();
  BOOST_TEST(received.reports.size() == 1U);
  BOOST_TEST(!lease.holds());
}

// The seal of a reported window is lost with the newest writes. If the window
// were summed up again, it would be reported twice with different totals.
BOOST_AUTO_TEST_CASE(a_window_is_not_sealed_again_after_a_restore) {
  PutRow(UsageWindow(10), "r1", true);
  store.SaveCopy();
  now = seconds(670);
  SealAndReportDueWindows();
  BOOST_TEST(received.reports.size() == 1U);
  store.RestoreCopy();
  PutRow(UsageWindow(10), "r2", true);
  PutRow(UsageWindow(11), "r1", true);
  TakeOverAfterRestore();
  BOOST_TEST(received.reports.size() == 1U);
  BOOST_TEST(store.Read(UsageClosedKey(UsageWindow(10)), kTimeout)
                 .value()
                 .has_value());
  now = seconds(730);
  lease.StepDown();
  TakeOverAfterRestore();
  BOOST_REQUIRE(received.reports.size() == 2U);
  BOOST_TEST(received.reports[1].window == UsageWindow(11));
  BOOST_TEST(received.reports[1].requests == 1);
}

// A window that no holder can have sealed before the restore must be billed,
// and a later tenure must not count it among those that were.
BOOST_AUTO_TEST_CASE(a_later_tenure_seals_what_became_due_after_a_restore) {
  store.RestoreCopy();
  now = seconds(660);
  TakeOverAfterRestore();
  lease.StepDown();
  PutRow(UsageWindow(10), "r1", true);
  now = seconds(700);
  TakeOverAfterRestore();
  BOOST_REQUIRE(received.reports.size() == 1U);
  BOOST_TEST(received.reports[0].window == UsageWindow(10));
}

// A window whose seal is in the copy may be reported in part; the rest must
// follow with the totals of the seal.
BOOST_AUTO_TEST_CASE(a_seal_in_the_copy_is_reported_unchanged) {
  SealedUsage sealed;
  sealed.customers[CustomerId("k")] = {7, Tokens(8), Tokens(9)};
  (void)store.Commit(
      Transaction().Put(UsageSealedKey(UsageWindow(10)), sealed.ToText()),
      kTimeout);
  PutRow(UsageWindow(10), "r1", true);
  store.SaveCopy();
  store.RestoreCopy();
  now = seconds(670);
  TakeOverAfterRestore();
  BOOST_REQUIRE(received.reports.size() == 1U);
  BOOST_TEST(received.reports[0].requests == 7);
}

// Rows that are never deleted would fill the table service.
BOOST_AUTO_TEST_CASE(old_rows_are_deleted) {
  PutRow(UsageWindow(10), "r1", true);
  now = seconds(670);
  SealAndReportDueWindows();
  now = seconds(60 * 30);
  lease.StepDown();
  SealAndReportDueWindows();
  now += seconds(7);
  SealAndReportDueWindows();
  BOOST_TEST(store.Scan("usage/", kTimeout).value().empty());
  BOOST_TEST(received.reports.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
