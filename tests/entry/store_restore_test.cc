#include <boost/test/unit_test.hpp>
#include <csignal>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "entry_fixture/entry_fleet.h"
#include "gateway/control/table_names.h"
#include "support/wait_until.h"

namespace bamboomount::entry_test {
namespace {

using nlohmann::json;
using support::WaitUntil;

// Instances that report usage, on a store that comes back from older copies.
class RestoreFleet : public EntryFleet {
 public:
  RestoreFleet() {
    AddBackend("e-1");
    Configure(1, DefaultCustomers());
  }

  // Without gossip, so that the instances know of each other only what the
  // store has.
  EntryInstance& AddHolderCandidate(const std::string& name) {
    EntryInstance& instance =
        AddInstance(name, {{"orders_address", store().address()},
                           {"duties", {"usage_reporting"}},
                           {"usage_window_s", 2},
                           {"lease_ms", 1500}});
    instance.WaitUntilReady();
    return instance;
  }
  // Calls `instance` until `holder` has reported `count` more windows. False if
  // it does not in time.
  bool WaitForReports(EntryInstance& instance,
                      const std::string& holder,
                      std::size_t count) {
    const std::size_t before = ReportsOf(holder);
    return WaitUntil([&] {
      Call(instance, MakeRequest("GET", "/lookup/x"));
      return ReportsOf(holder) >= before + count;
    });
  }
  std::size_t ReportsOf(const std::string& holder) {
    std::size_t count = 0;
    for (const UsageReport& report : store().UsageReports())
      count += report.holder == holder ? 1 : 0;
    return count;
  }
};

BOOST_FIXTURE_TEST_SUITE(store_restore, RestoreFleet)

// Guards against two holders with one fencing token: the store came back from a
// copy without the row of the lease, and the next holder began with the same
// number.
BOOST_AUTO_TEST_CASE(a_token_is_not_given_out_again_after_a_restore) {
  store().TakeCopy();
  EntryInstance& first = AddHolderCandidate("i-1");
  BOOST_TEST(WaitForReports(first, "i-1", 1));
  first.process().Signal(SIGKILL);
  store().RestoreCopy();
  EntryInstance& second = AddHolderCandidate("i-2");
  BOOST_TEST(WaitForReports(second, "i-2", 1));
  std::map<std::int64_t, std::set<std::string>> holders;
  std::int64_t newest = 0;
  for (const UsageReport& report : store().UsageReports()) {
    holders[report.token].insert(report.holder);
    BOOST_TEST(report.token >= newest);
    newest = report.token;
  }
  for (const auto& [token, names] : holders)
    BOOST_TEST(names.size() == 1U,
               "token " << token << " has " << names.size() << " holders");
}

// Guards against a second report of one window with other counts: the store
// lost the seal and the usage that went into it, and the next holder counted
// again.
BOOST_AUTO_TEST_CASE(a_window_is_not_reported_again_after_a_restore) {
  store().TakeCopy();
  EntryInstance& first = AddHolderCandidate("i-1");
  EntryInstance& second = AddHolderCandidate("i-2");
  const auto reported = [&] {
    Call(first, MakeRequest("GET", "/lookup/x"));
    Call(second, MakeRequest("GET", "/lookup/x"));
    return !store().UsageReports().empty();
  };
  BOOST_TEST(WaitUntil(reported));
  const std::string holder = store().UsageReports().back().holder;
  const std::string next = holder == "i-1" ? "i-2" : "i-1";
  (holder == "i-1" ? first : second).process().Signal(SIGKILL);
  store().RestoreCopy();
  BOOST_TEST(WaitForReports(holder == "i-1" ? second : first, next, 1));
  std::map<std::int64_t, json> counts;
  for (const UsageReport& report : store().UsageReports()) {
    const auto [known, is_new] =
        counts.try_emplace(report.window, report.counts);
    BOOST_TEST((is_new || known->second == report.counts));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount::entry_test
