#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "entry_fixture/entry_fleet.h"
#include "support/wait_until.h"

namespace bamboomount::entry_test {
namespace {

using nlohmann::json;
using support::WaitUntil;

// A row of a server in which one field has another value, as JSON text.
std::string RowWith(const std::string& field, const std::string& value) {
  json row = BackendRow("127.0.0.1:9");
  row[field] = "PLACEHOLDER";
  std::string text = row.dump();
  const std::string placeholder = "\"PLACEHOLDER\"";
  return text.replace(text.find(placeholder), placeholder.size(), value);
}

std::string Nested(const std::string& opening,
                   const std::string& closing,
                   std::size_t bytes) {
  const std::size_t depth = bytes / (opening.size() + closing.size());
  std::string text;
  for (std::size_t i = 0; i < depth; ++i)
    text += opening;
  text += "0";
  for (std::size_t i = 0; i < depth; ++i)
    text += closing;
  return text;
}

// Rows that name no server to use.
std::vector<std::string> OddRows() {
  constexpr std::size_t kMaxRowBytes = 65000;
  std::vector<std::string> rows{
      "",
      "null",
      "[]",
      "\"row\"",
      "{",
      "\xff\xfe{",
      std::string(kMaxRowBytes, '['),
      Nested("[", "]", kMaxRowBytes),
      Nested("{\"a\":", "}", kMaxRowBytes),
      RowWith("slots", "\"8\""),
      RowWith("slots", "null"),
      RowWith("slots", "0"),
      RowWith("slots", "-1"),
      RowWith("slots", "1.5"),
      RowWith("slots", "1e999"),
      RowWith("slots", "1e300"),
      RowWith("slots", "4294967297"),
      RowWith("slots", "99999999999999999999999999"),
      RowWith("born", "1e300"),
      RowWith("born", "\"x\""),
      RowWith("born", "18446744073709551615"),
      RowWith("spot", "1"),
      RowWith("address", "8080"),
      RowWith("address", "\"\""),
      RowWith("address", "\"127.0.0.1\""),
      RowWith("address", "\"127.0.0.1:\""),
      RowWith("address", "\"127.0.0.1:0\""),
      RowWith("address", "\"127.0.0.1:-1\""),
      RowWith("address", "\"127.0.0.1:65536\""),
      RowWith("address", "\"127.0.0.1:99999999999999999999\""),
      RowWith("address", "\"127.0.0.1:80 \""),
      RowWith("address", "\"server:80\""),
      RowWith("zone", "7"),
      RowWith("state", "\"gone\""),
      RowWith("service", "[]"),
  };
  for (const char* field : {"slots", "address", "zone", "state", "service",
                            "born", "spot", "version"})
    rows.push_back(RowWith(field, Nested("[", "]", kMaxRowBytes - 300)));
  return rows;
}

// The keys of the servers for which the instance has logged `event`.
std::vector<std::string> Logged(EntryInstance& instance,
                                const std::string& event) {
  std::vector<std::string> backends;
  for (const json& line : instance.LogLines()) {
    if (line.is_object() && line.value("name", "") == event)
      backends.push_back(line.value("backend", ""));
  }
  return backends;
}

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

BOOST_FIXTURE_TEST_SUITE(odd_server_row, EntryFleet)

// Guards against a row of another writer that ends the instances which read the
// list of servers, keeps them from following it, or is taken for a server.
BOOST_AUTO_TEST_CASE(an_odd_row_leaves_the_other_servers_in_use) {
  Configure(1, DefaultCustomers());
  AddBackend("e-1");
  std::vector<EntryInstance*> instances;
  for (const char* name : {"i-1", "i-2", "i-3"}) {
    instances.push_back(&AddInstance(name, {{"peer_address", "127.0.0.1:0"}}));
    instances.back()->WaitUntilReady();
  }
  const std::vector<std::string> rows = OddRows();
  for (std::size_t i = 0; i < rows.size(); ++i)
    store().Put("servers", "odd-" + std::to_string(i), rows[i]);
  AddBackend("e-2");
  // A later instance reads the table as a whole.
  instances.push_back(&AddInstance("i-4"));
  for (EntryInstance* instance : instances) {
    BOOST_TEST(WaitUntil(
        [&] { return Contains(Logged(*instance, "backend_listed"), "e-2"); }));
    const auto unreadable = Logged(*instance, "backend_row_unreadable");
    for (std::size_t i = 0; i < rows.size(); ++i) {
      BOOST_TEST_CONTEXT("row " << i << ": " << rows[i].substr(0, 200))
      BOOST_TEST(Contains(unreadable, "odd-" + std::to_string(i)));
    }
    BOOST_TEST(Call(*instance, MakeRequest("POST", "/book/x")).status == 200);
  }
}

// Guards against rows of another part of a table that are taken for the
// configuration and the servers: the feed of changes has all parts.
BOOST_AUTO_TEST_CASE(rows_of_another_part_are_not_used) {
  Configure(1, DefaultCustomers());
  AddBackend("e-1");
  EntryInstance& instance = AddInstance("i-1");
  instance.WaitUntilReady();
  BackendStandin other("e-9");
  store().PutInPart("servers", "draft", "e-9", other.RowValue("pool"));
  store().PutInPart(
      "op", "draft", "config",
      MakeConfig(2, json::array({{{"name", "new"}, {"api_keys", {"key-new"}}}}))
          .dump());
  // The instance has read the rows above once it knows this one.
  AddBackend("e-2");
  BOOST_TEST(WaitUntil(
      [&] { return Contains(Logged(instance, "backend_listed"), "e-2"); }));
  BOOST_TEST(!Contains(Logged(instance, "backend_listed"), "e-9"));
  BOOST_TEST(Call(instance, MakeRequest("POST", "/book/x")).status == 200);
  BOOST_TEST(Call(instance, MakeRequest("POST", "/book/x", "key-new")).status ==
             401);
  BOOST_TEST(other.ArrivalCount() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount::entry_test
