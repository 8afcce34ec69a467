#include "gateway/control/duty_runner.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <string>
#include <vector>

#include "gateway/control/table_names.h"

namespace bamboomount {
namespace {

constexpr Millis kLeaseDuration{60'000};
constexpr RowVersion kLeaseVersion(7);
constexpr StoreEra kEra(1);
constexpr StoreEra kNextEra(2);

InstanceSettings MakeSettings() {
  InstanceSettings settings;
  settings.instance = InstanceId("i-1");
  settings.reports_usage = true;
  return settings;
}

// Answers each call at once and keeps what is written.
class FakeStore : public AsyncTableStore {
 public:
  void ReadTable(const std::string& table,
                 Callback<RowsResponse> done) override {
    RowsResponse response{rows_[table], {}};
    const auto era = era_of_reads.find(table);
    response.info.era = era == era_of_reads.end() ? kEra : era->second;
    done(response);
  }
  void ReadChanges(const std::string& /*table*/,
                   RowVersion /*position*/,
                   Millis /*wait*/,
                   Callback<RowsResponse> /*done*/) override {}
  void Commit(const StoreTransaction& transaction,
              Callback<CommitResponse> done) override {
    for (const TableRow& row : transaction.writes())
      Add(row);
    CommitResponse response;
    response.committed = true;
    response.info.era = era_of_commits;
    done(response);
  }
  void Add(const TableRow& row) { rows_[row.table].push_back(row); }

  // By table; kEra if a table has none.
  std::map<std::string, StoreEra> era_of_reads;
  StoreEra era_of_commits = kEra;

 private:
  std::map<std::string, std::vector<TableRow>> rows_;
};

// Accepts each call at once.
class FakeDutyClient : public DutyClient {
 public:
  void ReportUsage(const DutyHolder& /*holder*/,
                   WindowNumber window,
                   const UsageCounts& /*counts*/,
                   Callback done) override {
    reported.push_back(window);
    done(DutyOutcome::kAccepted);
  }
  void OrderBackends(const DutyHolder& /*holder*/,
                     const BackendOrder& /*order*/,
                     Callback done) override {
    done(DutyOutcome::kAccepted);
  }

  std::vector<WindowNumber> reported;
};

// An instance that holds the lease in kEra and has started requests in each
// recent window.
struct Fixture {
  Fixture() : last_ended(state.LastEndedWindow(BootClock::now())) {
    for (int back = UsageLedger::kRetainedWindows - 1; back >= 0; --back)
      state.usage().RecordRequest(last_ended - WindowNumber(back),
                                  CustomerId("mill"));
  }

  // `skipped_through` is what a claim after a restore sets.
  void Hold(WindowNumber skipped_through = WindowNumber()) {
    const Instant now = BootClock::now();
    LeaseSnapshot snapshot;
    snapshot.era = kEra;
    lease.ObserveRow(snapshot, now - kLeaseDuration * 2);
    auto claim = lease.NextClaim(now);
    BOOST_REQUIRE(claim.has_value());
    claim->row.sealed_through = skipped_through;
    lease.OnCommitted(*claim, kLeaseVersion, kEra, now);
    BOOST_REQUIRE(lease.HoldsFor(DutyRunner::kMinLeaseForCall, now));
    runner.OnLeaseTaken();
  }
  void Step() { runner.Step(lease, BootClock::now()); }

  GatewayState state{MakeSettings()};
  const WindowNumber last_ended;
  FakeStore store;
  FakeDutyClient client;
  DutyLease lease{InstanceId("i-1"), Incarnation("i-1-1"), kLeaseDuration};
  DutyRunner runner{store, client, state, Incarnation("i-1-1")};
};

BOOST_FIXTURE_TEST_SUITE(duty_runner, Fixture)

// Guards against a runner that reports nothing at all, which the tests below
// would not notice.
BOOST_AUTO_TEST_CASE(sealed_windows_are_reported) {
  Hold();
  Step();
  BOOST_TEST(!client.reported.empty());
}

// Guards against a report of counts that the store may have lost or sealed
// otherwise: the store came back from a copy before it performed the commit.
BOOST_AUTO_TEST_CASE(a_seal_that_is_committed_in_another_era_is_not_reported) {
  Hold();
  store.era_of_commits = kNextEra;
  Step();
  BOOST_TEST(client.reported.empty());
  // Nor is it when the seals are read again.
  store.era_of_reads[tables::kUsage] = kNextEra;
  Step();
  BOOST_TEST(client.reported.empty());
}

// Guards against a tenure that takes up the seals and the counts of a later
// era.
BOOST_AUTO_TEST_CASE(rows_of_another_era_are_not_used) {
  Hold();
  for (const char* table : {tables::kUsage, tables::kIncarnationUsage}) {
    store.era_of_reads = {{table, kNextEra}};
    Step();
    BOOST_TEST(client.reported.empty(), table);
  }
}

// Guards against a second report of windows that an earlier holder may have
// reported before the store lost their seals.
BOOST_AUTO_TEST_CASE(windows_before_a_restore_are_not_sealed_again) {
  Hold(last_ended);
  Step();
  BOOST_TEST(client.reported.empty());
}

// Guards against a second report of one window with other counts: after the
// restore the store performed an earlier commit of the window's seal, which had
// got no answer and was made again with more counts.
BOOST_AUTO_TEST_CASE(a_seal_that_was_written_late_is_not_reported) {
  const UsageSeal seal{last_ended, {{CustomerId("mill"), 5}}, WindowNumber()};
  TableRow row;
  row.table = tables::kUsage;
  row.key = std::to_string(last_ended.value());
  row.value = EncodeSeal(seal);
  store.Add(row);
  Hold(last_ended);
  Step();
  BOOST_TEST(client.reported.empty());
}

// Guards against windows that are sealed again by a holder that has heard of
// their seals by gossip only.
BOOST_AUTO_TEST_CASE(windows_that_others_have_sealed_are_not_sealed_again) {
  Hold();
  state.usage_delivery().ObserveSealed(last_ended);
  Step();
  BOOST_TEST(client.reported.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
