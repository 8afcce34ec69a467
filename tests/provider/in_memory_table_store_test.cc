#include <boost/test/unit_test.hpp>

#include "provider/provider.h"

namespace bamboomount {
namespace {

constexpr Millis kTimeout{1000};

BOOST_AUTO_TEST_SUITE(in_memory_table_store)

// The injected faults simulate those of a real store. If a fault had no effect,
// every test that relies on it would pass without testing anything.
BOOST_AUTO_TEST_CASE(faults_differ_in_what_reaches_the_table) {
  InMemoryTableStore store;
  const auto put = [&](const std::string& key) {
    return store.Commit(Transaction().ExpectAbsent(key).Put(key, "v"),
                        kTimeout);
  };
  const auto stored = [&](const std::string& key) {
    return store.Read(key, kTimeout).value().has_value();
  };
  store.SetFaults({.outage = true});
  BOOST_TEST((put("a").error().verdict == RunVerdict::kNotRun));
  store.SetFaults({.lost_commit_responses = 1});
  BOOST_TEST((put("b").error().verdict == RunVerdict::kMayHaveRun));
  store.SetFaults({.lost_commits = 1});
  BOOST_TEST((put("c").error().verdict == RunVerdict::kMayHaveRun));
  store.SetFaults({.delayed_commits = 1});
  BOOST_TEST((put("d").error().verdict == RunVerdict::kMayHaveRun));
  BOOST_TEST(!stored("a"));
  BOOST_TEST(stored("b"));
  BOOST_TEST(!stored("c"));
  BOOST_TEST(!stored("d"));
  store.DeliverDelayedCommits();
  BOOST_TEST(stored("d"));
  store.SetFaults({.delay = Millis(2)});
  BOOST_TEST(
      (store.Commit(Transaction().Put("e", "v"), Millis(1)).error().verdict ==
       RunVerdict::kMayHaveRun));
  BOOST_TEST(stored("e"));
}

// A delayed commit that ignored its conditions would overwrite a later write.
BOOST_AUTO_TEST_CASE(a_delayed_commit_checks_its_conditions_on_arrival) {
  InMemoryTableStore store;
  store.SetFaults({.delayed_commits = 1});
  const auto first = Transaction().ExpectAbsent("a").Put("a", "first");
  BOOST_TEST(store.Commit(first, kTimeout).has_error());
  const auto second = Transaction().ExpectAbsent("a").Put("a", "second");
  BOOST_TEST(store.Commit(second, kTimeout).has_value());
  store.DeliverDelayedCommits();
  BOOST_TEST(store.Read("a", kTimeout).value()->value == "second");
}

// A simulated restore that kept later rows or gave out no version again would
// not show the faults of callers that rely on either.
BOOST_AUTO_TEST_CASE(a_restore_brings_back_the_copy_in_the_next_era) {
  InMemoryTableStore store;
  const auto put = [&](const std::string& key, const std::string& value) {
    return store.CommitWithEra(Transaction().Put(key, value), kTimeout).value();
  };
  BOOST_TEST(put("a", "1").era == StoreEra(0));
  store.SaveCopy();
  put("a", "2");
  put("b", "1");
  store.RestoreCopy();
  const auto row = store.ReadWithEra("a", kTimeout).value();
  BOOST_TEST(row.era == StoreEra(1));
  BOOST_TEST(row.value->value == "1");
  BOOST_TEST(!store.Read("b", kTimeout).value().has_value());
  put("a", "3");
  BOOST_TEST(store.Read("a", kTimeout).value()->version == RowVersion(2));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
