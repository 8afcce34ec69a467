#include <signal.h>
#include <sys/wait.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>
#include <random>
#include <thread>

#include "controller/controller.h"
#include "support/platform_process.h"

namespace bamboomount {
namespace {

using support::ChildProcess;
using support::PlatformProcess;

constexpr Millis kTimeout{5000};

struct Fixture {
  // A holder that is started again whenever it ends, since on a busy machine
  // the guard may end it at any time.
  struct RestartedHolder {
    std::vector<std::string> arguments;
    ChildProcess process;
  };

  PlatformProcess platform;
  HttpTableStore store{platform.address()};
  std::vector<RestartedHolder> restarted_holders;

  std::vector<std::string> Arguments(const std::string& instance,
                                     const std::vector<std::string>& options) {
    std::vector<std::string> arguments{"--platform", platform.address(),
                                       "--instance", instance};
    arguments.insert(arguments.end(), options.begin(), options.end());
    return arguments;
  }
  static ChildProcess Start(const std::vector<std::string>& arguments) {
    return {support::ProgramPath("lease_holder"), arguments};
  }
  ChildProcess StartHolder(const std::string& instance,
                           const std::vector<std::string>& options = {}) {
    return Start(Arguments(instance, options));
  }
  void StartRestartedHolder(const std::string& instance,
                            const std::vector<std::string>& options = {}) {
    const auto arguments = Arguments(instance, options);
    restarted_holders.push_back({arguments, Start(arguments)});
  }

  // Waits until `condition` holds. The limit bounds a hang only.
  void WaitUntil(const std::function<bool()>& condition) {
    const auto limit =
        std::chrono::steady_clock::now() + std::chrono::minutes(1);
    while (!condition()) {
      if (std::chrono::steady_clock::now() > limit)
        throw std::runtime_error("condition not reached");
      for (RestartedHolder& holder : restarted_holders) {
        if (!holder.process.running())
          holder.process = Start(holder.arguments);
      }
      std::this_thread::sleep_for(Millis(2));
    }
  }

  std::vector<Row> Rows(const std::string& prefix) {
    auto rows = store.Scan(prefix, kTimeout);
    if (!rows)
      throw std::runtime_error(rows.error().message);
    return std::move(rows).value();
  }

  // Waits until the program has stopped at its point.
  static void WaitUntilStopped(ChildProcess& holder) {
    BOOST_REQUIRE(holder.ReadLine().has_value());
  }

  // Orders from the first holder and from later ones.
  std::size_t FirstHolderOrders() {
    return platform.Orders().size() - LaterHolderOrders();
  }
  std::size_t LaterHolderOrders() {
    const auto orders = platform.Orders();
    return static_cast<std::size_t>(
        std::count_if(orders.begin(), orders.end(), [](const auto& order) {
          return order.fencing_token > FencingToken(1);
        }));
  }

  void CheckHoldersOrderInSequenceWithoutRepeats() {
    const auto orders = platform.Orders();
    BOOST_TEST(std::is_sorted(orders.begin(), orders.end(),
                              [](const auto& a, const auto& b) {
                                return a.fencing_token < b.fencing_token;
                              }));
    std::map<std::string, int> arrivals;
    for (const BackendOrder& order : orders)
      BOOST_TEST(++arrivals[order.order_id] == 1);
  }

  // Stops a holder between its check of the lease and its order, lets another
  // one order, and continues the first. Returns its wait status if it ended.
  std::optional<int> StopAndContinueBeforeOrder(const std::string& guard) {
    auto first =
        StartHolder("a", {"--guard", guard, "--stop-at", "before-order"});
    WaitUntilStopped(first);
    StartRestartedHolder("b");
    WaitUntil([&] { return LaterHolderOrders() >= 1; });
    first.Continue();
    const auto seen = LaterHolderOrders();
    WaitUntil([&] { return LaterHolderOrders() >= seen + 3; });
    if (first.running())
      return std::nullopt;
    return first.Wait();
  }

  // The totals of each window and customer that the platform received.
  void CheckReportsAreConsistent() {
    std::map<std::pair<UsageWindow, CustomerId>, std::int64_t> totals;
    FencingToken newest;
    for (const UsageReport& report : platform.Usage()) {
      const auto [known, added] = totals.emplace(
          std::pair(report.window, report.customer), report.requests);
      BOOST_TEST(known->second == report.requests);
      BOOST_TEST(report.fencing_token >= newest);
      newest = report.fencing_token;
    }
  }

  std::int64_t ReportedRequests() {
    std::map<std::pair<UsageWindow, CustomerId>, std::int64_t> totals;
    for (const UsageReport& report : platform.Usage())
      totals[{report.window, report.customer}] = report.requests;
    std::int64_t sum = 0;
    for (const auto& [key, requests] : totals)
      sum += requests;
    return sum;
  }
};

BOOST_FIXTURE_TEST_SUITE(lease_processes, Fixture)

// The receiver does not check tokens, so only the guard stands between the
// pause and a second order.
BOOST_AUTO_TEST_CASE(a_holder_stopped_before_its_order_is_killed_by_the_guard) {
  platform.SetFaults(R"({"check_fencing":false})");
  const auto status = StopAndContinueBeforeOrder("kernel");
  BOOST_REQUIRE(status.has_value());
  BOOST_TEST(WIFSIGNALED(*status));
  BOOST_TEST(WTERMSIG(*status) == SIGKILL);
  BOOST_TEST(FirstHolderOrders() == 0U);
  CheckHoldersOrderInSequenceWithoutRepeats();
}

// Where the guard cannot help, as in a paused virtual machine, the token has
// to.
BOOST_AUTO_TEST_CASE(
    a_receiver_that_checks_tokens_refuses_an_unguarded_holder) {
  const auto status = StopAndContinueBeforeOrder("none");
  BOOST_TEST(!status.has_value());
  BOOST_TEST(FirstHolderOrders() == 0U);
  CheckHoldersOrderInSequenceWithoutRepeats();
}

BOOST_AUTO_TEST_CASE(holders_stopped_at_any_moment_never_order_concurrently) {
  platform.SetFaults(R"({"check_fencing":false})");
  constexpr int kRounds = 12;
  std::mt19937 random(20261204);
  // A holder spends most of its time between the check and the send, so that
  // many stops hit it there.
  for (const char* name : {"a", "b", "c"})
    StartRestartedHolder(name, {"--lease-ms", "600", "--send-delay-ms", "30"});
  const auto newest = [&] {
    const auto orders = platform.Orders();
    return orders.empty() ? 0 : orders.back().fencing_token.value();
  };
  for (int round = 0; round < kRounds; ++round) {
    auto count = platform.Orders().size() + 1 + random() % 4;
    WaitUntil([&] { return platform.Orders().size() >= count; });
    // A number of reads that differs each time, so that the stop does not
    // always come right after an order.
    for (auto reads = random() % 150; reads > 0; --reads)
      (void)Rows("lease/");
    // Which one holds the lease is not known, so all but one are stopped.
    const auto before = newest();
    const std::size_t spared = random() % restarted_holders.size();
    for (std::size_t i = 0; i < restarted_holders.size(); ++i) {
      if (i != spared)
        restarted_holders[i].process.Stop();
    }
    count = platform.Orders().size();
    WaitUntil([&] {
      return newest() > before || platform.Orders().size() > count + 2;
    });
    for (RestartedHolder& holder : restarted_holders)
      holder.process.Continue();
  }
  BOOST_TEST(newest() > 1U);
  CheckHoldersOrderInSequenceWithoutRepeats();
}

// The order is at the platform and its sender is dead: sending it again would
// pay twice, forgetting it would leave the plan wrong.
BOOST_AUTO_TEST_CASE(an_order_of_a_dead_holder_is_found_and_not_repeated) {
  auto first = StartHolder("a", {"--stop-at", "after-order"});
  WaitUntilStopped(first);
  BOOST_TEST(FirstHolderOrders() == 1U);
  first.Signal(SIGKILL);
  StartRestartedHolder("b");
  WaitUntil([&] { return LaterHolderOrders() >= 1; });
  BOOST_TEST(FirstHolderOrders() == 1U);
  const auto entry = JournalEntry::Parse(Rows("order/").front().value);
  BOOST_TEST(entry->order.fencing_token == FencingToken(1));
  BOOST_TEST((entry->state == OrderState::kAccepted));
  CheckHoldersOrderInSequenceWithoutRepeats();
}

BOOST_AUTO_TEST_CASE(an_order_that_was_recorded_but_not_sent_is_abandoned) {
  auto first = StartHolder("a", {"--stop-at", "before-order"});
  WaitUntilStopped(first);
  first.Signal(SIGKILL);
  StartRestartedHolder("b");
  WaitUntil([&] { return LaterHolderOrders() >= 1; });
  const auto entry = JournalEntry::Parse(Rows("order/").front().value);
  BOOST_TEST((entry->state == OrderState::kAbandoned));
  BOOST_TEST(FirstHolderOrders() == 0U);
}

BOOST_AUTO_TEST_CASE(lost_platform_responses_cause_no_duplicate_order) {
  platform.SetFaults(R"({"path_prefix":"/orders","lost_answers":3})");
  StartRestartedHolder("a");
  WaitUntil([&] { return platform.Orders().size() >= 6; });
  CheckHoldersOrderInSequenceWithoutRepeats();
}

BOOST_AUTO_TEST_CASE(lost_table_service_responses_cause_no_duplicate_order) {
  platform.SetFaults(R"({"path_prefix":"/table","lost_answers":8})");
  StartRestartedHolder("a");
  WaitUntil([&] { return platform.Orders().size() >= 6; });
  CheckHoldersOrderInSequenceWithoutRepeats();
}

// A platform that thaws runs the calls that its caller has given up on.
BOOST_AUTO_TEST_CASE(a_platform_that_stalls_and_resumes_gets_no_order_twice) {
  StartRestartedHolder("a");
  WaitUntil([&] { return platform.Orders().size() >= 2; });
  platform.SetFaults(R"({"path_prefix":"/orders","freeze":true})");
  // Two renewals later the holder has given up on a call.
  const auto renewals = [&] { return Rows("lease/").front().version.value(); };
  const auto before = renewals();
  WaitUntil([&] { return renewals() >= before + 3; });
  platform.SetFaults(R"({"freeze":false})");
  const auto count = platform.Orders().size();
  WaitUntil([&] { return platform.Orders().size() >= count + 3; });
  CheckHoldersOrderInSequenceWithoutRepeats();
}

BOOST_AUTO_TEST_SUITE_END()

struct UsageFixture : Fixture {
  static constexpr int kWindowMs = 600;
  static constexpr int kRequests = 40;

  UsageFixture() {
    windows.length = Millis(kWindowMs);
    windows.close_delay = windows.length / 6;
    // Platforms and routers outlive the rows of no window in a test.
    windows.row_retention_windows = 1000;
  }

  static std::vector<std::string> Options(const std::string& stop_at) {
    return {"--window-ms", std::to_string(kWindowMs), "--stop-at", stop_at};
  }

  // Counts requests of two customers over some windows.
  void CountRequests(UsageRecorder& recorder) {
    for (int i = 0; i < kRequests; ++i) {
      recorder.Record(CustomerId(i % 2 == 0 ? "k1" : "k2"),
                      {1, Tokens(10), Tokens(20)});
      (void)recorder.Flush(kTimeout);
    }
  }

  // Holder `a` stops at `point`, dies there, and `b` takes over.
  void CheckReportsAfterHolderDiesAt(const std::string& point) {
    UsageRecorder recorder(store, InstanceId("r1"), windows);
    CountRequests(recorder);
    auto first = StartHolder("a", Options(point));
    WaitUntil([&] {
      (void)recorder.Flush(kTimeout);
      const auto sealed = store.Scan("usage-sealed/", kTimeout);
      return sealed &&
             std::any_of(
                 sealed.value().begin(), sealed.value().end(),
                 [](const Row& row) {
                   return !SealedUsage::Parse(row.value)->customers.empty();
                 });
    });
    WaitUntilStopped(first);
    first.Signal(SIGKILL);
    StartRestartedHolder("b", Options(""));
    recorder.Record(CustomerId("k1"), {1, Tokens(10), Tokens(20)});
    WaitUntil([&] {
      (void)recorder.Flush(kTimeout);
      return ReportedRequests() >= kRequests + 1;
    });
    BOOST_TEST(ReportedRequests() == kRequests + 1);
    CheckReportsAreConsistent();
  }

  UsageWindowSettings windows;
};

BOOST_FIXTURE_TEST_SUITE(usage_processes, UsageFixture)

BOOST_AUTO_TEST_CASE(a_window_sealed_by_a_dead_holder_is_reported_by_the_next) {
  CheckReportsAfterHolderDiesAt("before-report");
}

BOOST_AUTO_TEST_CASE(
    a_report_whose_sender_died_before_the_response_keeps_its_totals) {
  CheckReportsAfterHolderDiesAt("after-report");
}

BOOST_AUTO_TEST_CASE(lost_responses_to_reports_keep_the_totals) {
  platform.SetFaults(R"({"path_prefix":"/usage","lost_answers":5})");
  UsageRecorder recorder(store, InstanceId("r1"), windows);
  CountRequests(recorder);
  StartRestartedHolder("a", Options(""));
  WaitUntil([&] {
    (void)recorder.Flush(kTimeout);
    return ReportedRequests() >= kRequests;
  });
  BOOST_TEST(ReportedRequests() == kRequests);
  CheckReportsAreConsistent();
}

// The guard covers reports as it covers orders.
BOOST_AUTO_TEST_CASE(a_holder_stopped_before_its_report_never_sends_it) {
  platform.SetFaults(R"({"check_fencing":false})");
  UsageRecorder recorder(store, InstanceId("r1"), windows);
  CountRequests(recorder);
  auto first = StartHolder("a", Options("before-report"));
  WaitUntil([&] {
    (void)recorder.Flush(kTimeout);
    return !Rows("usage-closed/").empty();
  });
  WaitUntilStopped(first);
  StartRestartedHolder("b", Options(""));
  WaitUntil([&] {
    (void)recorder.Flush(kTimeout);
    return ReportedRequests() >= kRequests;
  });
  BOOST_TEST(ReportedRequests() == kRequests);
  first.Continue();
  BOOST_TEST(WIFSIGNALED(first.Wait()));
  CheckReportsAreConsistent();
}

// A router that writes while windows close around it: what misses its window
// is late, counted and reported once.
BOOST_AUTO_TEST_CASE(usage_written_after_the_close_is_reported_once_as_late) {
  UsageRecorder recorder(store, InstanceId("r1"), windows);
  StartRestartedHolder("a", Options(""));
  WaitUntil([&] { return !Rows("usage-closed/").empty(); });
  recorder.Record(CustomerId("k1"), {1, Tokens(10), Tokens(20)});
  const auto window = windows.WindowAt(std::chrono::system_clock::now());
  WaitUntil([&] { return !Rows(UsageClosedKey(window)).empty(); });
  WaitUntil([&] {
    (void)recorder.Flush(kTimeout);
    return ReportedRequests() >= 1;
  });
  BOOST_TEST(recorder.late_total().requests == 1);
  const auto usage = platform.Usage();
  BOOST_TEST(usage.front().window > window);
  CheckReportsAreConsistent();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
