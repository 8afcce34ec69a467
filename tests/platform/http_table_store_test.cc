#include "platform/http_table_store.h"

#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>

#include "support/raw_server.h"

namespace bamboomount {
namespace {

using support::RawServer;

// A response of the store without rows. `fields` are further header fields,
// each with its line end.
std::string EmptyReply(const std::string& fields) {
  return "HTTP/1.1 200 OK\r\n" + fields +
         "\r\n{\"rows\":[],\"schema_version\":7}";
}

// A response with one row, after which the table goes on if `has_more`.
std::string PageReply(const std::string& key, bool has_more, int era) {
  return "HTTP/1.1 200 OK\r\nStore-Era: " + std::to_string(era) +
         "\r\n\r\n{\"rows\":[{\"key\":\"" + key +
         "\",\"part\":\"\",\"value\":\"\",\"schema_version\":7}],"
         "\"schema_version\":7,\"has_more\":" +
         (has_more ? "true" : "false") + "}";
}

// The one response of a call that `start` starts.
template <typename Response, typename Start>
Result<Response> Call(const RawServer& server, const Start& start) {
  asio::io_context context;
  HttpTableStore store(context, server.address());
  std::optional<Result<Response>> result;
  start(store, [&](Result<Response> response) {
    result = std::move(response);
    context.stop();
  });
  context.run();
  BOOST_REQUIRE(result.has_value());
  return *result;
}

Result<RowsResponse> ReadTable(const RawServer& server) {
  return Call<RowsResponse>(server, [](HttpTableStore& store, auto done) {
    store.ReadTable("t", std::move(done));
  });
}

Result<RowsResponse> ReadChanges(const RawServer& server) {
  return Call<RowsResponse>(server, [](HttpTableStore& store, auto done) {
    store.ReadChanges("t", RowVersion(0), Millis(0), std::move(done));
  });
}

Result<CommitResponse> Commit(const RawServer& server) {
  return Call<CommitResponse>(server, [](HttpTableStore& store, auto done) {
    store.Commit(StoreTransaction(), std::move(done));
  });
}

BOOST_AUTO_TEST_SUITE(http_table_store)

// Guards against a duty lease that outlives a restore of the store, because the
// era of a response is lost on its way.
BOOST_AUTO_TEST_CASE(responses_carry_the_era_of_the_store) {
  const RawServer server(EmptyReply("Store-Era: 3\r\n"));
  BOOST_TEST((ReadTable(server).value().info.era == StoreEra(3)));
  BOOST_TEST((ReadChanges(server).value().info.era == StoreEra(3)));
  BOOST_TEST((Commit(server).value().info.era == StoreEra(3)));
}

// Guards against a claim whose condition did not hold and whose response does
// not end the lease of an earlier era.
BOOST_AUTO_TEST_CASE(a_conflict_carries_the_era_of_the_store) {
  const RawServer server(
      "HTTP/1.1 412 Precondition Failed\r\nStore-Era: 3\r\n\r\n"
      "{\"rows\":[],\"schema_version\":7}");
  const auto response = Commit(server);
  BOOST_TEST(!response.value().committed);
  BOOST_TEST((response.value().info.era == StoreEra(3)));
}

// Guards against a malformed field that is taken for a later era: it would end
// the tenure and refuse every true one.
BOOST_AUTO_TEST_CASE(an_era_that_cannot_be_read_is_0) {
  const std::string fields[] = {
      "",
      "Store-Era:\r\n",
      "Store-Era: x\r\n",
      "Store-Era: 3x\r\n",
      "Store-Era: -3\r\n",
      "Store-Era: +3\r\n",
      "Store-Era: 3.5\r\n",
      "Store-Era: 3, 4\r\n",
      "Store-Era: 18446744073709551616\r\n",
  };
  for (const std::string& field : fields) {
    BOOST_TEST_CONTEXT(field) {
      const RawServer server(EmptyReply(field));
      BOOST_TEST((ReadTable(server).value().info.era == StoreEra(0)));
    }
  }
}

// Guards against a table of which one part is from before a restore and the
// other from after it. Such a table never was in the store.
BOOST_AUTO_TEST_CASE(a_read_across_a_restore_fails) {
  RawServer server("");
  server.SetReplies({PageReply("a", true, 1), PageReply("b", false, 2)});
  const auto read = ReadTable(server);
  BOOST_REQUIRE(!read.has_value());
  BOOST_TEST((read.error().code == ErrorCode::kStoreUnavailable));
}

// Guards against a check of the era that fails reads of several pages without a
// restore.
BOOST_AUTO_TEST_CASE(a_read_of_several_pages_is_whole) {
  RawServer server("");
  server.SetReplies({PageReply("a", true, 2), PageReply("b", false, 2)});
  const auto read = ReadTable(server);
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(read.value().rows.size() == 2U);
  BOOST_TEST((read.value().info.era == StoreEra(2)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
