#include <boost/test/unit_test.hpp>

#include "provider/provider.h"
#include "support/platform_process.h"
#include "support/raw_server.h"

namespace bamboomount {
namespace {

constexpr Millis kTimeout{5000};

struct Fixture {
  support::PlatformProcess platform;
  HttpTableStore table{platform.address()};
  HttpBackendOrders orders{platform.address()};
  HttpUsageReports usage{platform.address()};
  HttpObjectStore objects{platform.address()};
  HttpInstanceDirectory directory{platform.address()};

  static BackendOrder Order(const std::string& id, std::uint64_t token) {
    return {id, ZoneId("bern-a"),   PoolId("futter"), BackendKind::kCheap,
            -2, FencingToken(token)};
  }
};

BOOST_FIXTURE_TEST_SUITE(http_clients, Fixture)

// Keys contain customer names. A wrong encoding of special characters would mix
// up two rows.
BOOST_AUTO_TEST_CASE(rows_keep_any_text_in_key_and_value) {
  const std::string key = "claim/Müller & Söhne/+%?=#/a b";
  const std::string value = "{\"text\":\"Zürich\\n100 %\"}";
  const auto outcome =
      table.Commit(Transaction().ExpectAbsent(key).Put(key, value), kTimeout);
  BOOST_TEST((outcome.value() == CommitOutcome::kCommitted));
  const auto row = table.Read(key, kTimeout).value();
  BOOST_REQUIRE(row.has_value());
  BOOST_TEST(row->value == value);
  BOOST_TEST(row->version == RowVersion(1));
  const auto rows = table.Scan("claim/Müller & ", kTimeout).value();
  BOOST_REQUIRE(rows.size() == 1U);
  BOOST_TEST(rows[0].key == key);
  BOOST_TEST(!table.Read("claim/Müller", kTimeout).value().has_value());
}

// If a commit with a failed condition wrote anything, it could change rows of
// the writer that committed first, and both writers would act.
BOOST_AUTO_TEST_CASE(a_commit_with_a_failed_condition_writes_nothing) {
  const auto first = Transaction().ExpectAbsent("a").Put("a", "1");
  const auto second =
      Transaction().Expect("a", RowVersion(7)).Put("b", "1").Delete("a");
  BOOST_TEST(
      (table.Commit(first, kTimeout).value() == CommitOutcome::kCommitted));
  BOOST_TEST(
      (table.Commit(second, kTimeout).value() == CommitOutcome::kConflict));
  BOOST_TEST(table.Read("a", kTimeout).value().has_value());
  BOOST_TEST(!table.Read("b", kTimeout).value().has_value());
}

// A lease holder that did not learn that the table came back from an older copy
// would act on a tenure that the table has lost.
BOOST_AUTO_TEST_CASE(responses_of_the_table_state_the_era) {
  const auto put = Transaction().Put("a", "1");
  BOOST_TEST(table.CommitWithEra(put, kTimeout).value().era == StoreEra(0));
  platform.SetFaults(R"({"save_table_copy":true})");
  BOOST_TEST(table.Commit(put, kTimeout).has_value());
  platform.SetFaults(R"({"restore_table_copy":true})");
  const auto row = table.ReadWithEra("a", kTimeout).value();
  BOOST_TEST(row.era == StoreEra(1));
  BOOST_TEST(row.value->version == RowVersion(1));
  BOOST_TEST(table.ReadWithEra("b", kTimeout).value().era == StoreEra(1));
  BOOST_TEST(table.ScanWithEra("", kTimeout).value().era == StoreEra(1));
  BOOST_TEST(table.CommitWithEra(put, kTimeout).value().era == StoreEra(1));
}

// A store that states no era never comes back from a copy. A field that cannot
// be read says nothing of the era, and must not count as era 0.
BOOST_AUTO_TEST_CASE(an_era_is_a_whole_number_or_absent) {
  const auto read_era = [](const std::string& field) {
    support::RawServer server("HTTP/1.1 404 Not Found\r\n" + field +
                              "Content-Length: 0\r\n\r\n");
    return HttpTableStore(server.address()).ReadWithEra("a", kTimeout);
  };
  BOOST_TEST(read_era("").value().era == StoreEra(0));
  BOOST_TEST(read_era("Store-Era: 7\r\n").value().era == StoreEra(7));
  for (const char* malformed : {"", "x", "-1", "1x", "99999999999999999999"}) {
    const auto read = read_era("Store-Era: " + std::string(malformed) + "\r\n");
    BOOST_TEST(read.has_error(), malformed);
  }
}

// An object that is altered or truncated on the way could not be used as a
// snapshot.
BOOST_AUTO_TEST_CASE(objects_are_returned_byte_for_byte) {
  const std::string content(300000, '\x01');
  BOOST_TEST(objects.Put("snapshot 1", content, kTimeout).has_value());
  BOOST_TEST((objects.Get("snapshot 1", kTimeout).value() == content));
  BOOST_TEST(!objects.Get("snapshot", kTimeout).value().has_value());
}

// A journal that cannot find its own order would send the order twice.
BOOST_AUTO_TEST_CASE(orders_are_found_by_id_with_all_members) {
  BOOST_TEST(orders.Submit(Order("7-1", 7), kTimeout).has_value());
  const auto found = orders.Find("7-1", kTimeout).value();
  BOOST_REQUIRE(found.has_value());
  BOOST_TEST(found->zone == ZoneId("bern-a"));
  BOOST_TEST(found->pool == PoolId("futter"));
  BOOST_TEST((found->kind == BackendKind::kCheap));
  BOOST_TEST(found->count == -2);
  BOOST_TEST(found->fencing_token == FencingToken(7));
  BOOST_TEST(!orders.Find("7-2", kTimeout).value().has_value());
}

// A platform that accepted a stale token would execute orders of an earlier
// lease holder; a verdict other than "not run" would leave a refused order
// unresolved.
BOOST_AUTO_TEST_CASE(a_stale_fencing_token_is_refused_as_not_run) {
  BOOST_TEST(orders.Submit(Order("8-1", 8), kTimeout).has_value());
  const auto stale = orders.Submit(Order("7-9", 7), kTimeout);
  BOOST_REQUIRE(stale.has_error());
  BOOST_TEST((stale.error().code == ErrorCode::kConflict));
  BOOST_TEST((stale.error().verdict == RunVerdict::kNotRun));
  platform.SetFaults(R"({"check_fencing":false})");
  BOOST_TEST(orders.Submit(Order("7-9", 7), kTimeout).has_value());
  BOOST_TEST(platform.Orders().size() == 2U);
}

// A member that is lost or mixed up on the way would bill a customer wrongly.
BOOST_AUTO_TEST_CASE(usage_reports_arrive_with_all_members) {
  const UsageReport report{
      UsageWindow(28000000), CustomerId("verband"), 3, Tokens(40),
      Tokens(500),           FencingToken(2)};
  BOOST_TEST(usage.Submit(report, kTimeout).has_value());
  const auto received = platform.Usage();
  BOOST_REQUIRE(received.size() == 1U);
  BOOST_TEST(received[0].window == report.window);
  BOOST_TEST(received[0].customer == report.customer);
  BOOST_TEST(received[0].requests == 3);
  BOOST_TEST(received[0].prompt_tokens == Tokens(40));
  BOOST_TEST(received[0].output_tokens == Tokens(500));
}

// A leaving instance or backend server that is listed as live would get new
// work.
BOOST_AUTO_TEST_CASE(the_directory_lists_live_and_leaving_members) {
  ListedInstance instance{InstanceId("r1"), ZoneId("zug-a"),
                          "127.0.0.1:1",    "127.0.0.1:2",
                          "127.0.0.1:3",    ListedState::kLive};
  BOOST_TEST(directory.Register(instance, kTimeout).has_value());
  instance.instance = InstanceId("r2");
  instance.state = ListedState::kLeaving;
  BOOST_TEST(directory.Register(instance, kTimeout).has_value());
  platform.SetFaults(R"({"backends":[{"backend":"e1","state":"leaving"}]})");
  const auto listing = directory.List(kTimeout).value();
  BOOST_REQUIRE(listing.instances.size() == 2U);
  BOOST_TEST((listing.instances[0].state == ListedState::kLive));
  BOOST_TEST(listing.instances[0].peer_address == "127.0.0.1:2");
  BOOST_TEST((listing.instances[1].state == ListedState::kLeaving));
  BOOST_REQUIRE(listing.backends.size() == 1U);
  BOOST_TEST((listing.backends[0].state == ListedState::kLeaving));
  platform.SetFaults(R"({"directory_lag_ms":3600000})");
  BOOST_TEST(directory.List(kTimeout).value().instances.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
