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
  // A lease holder process that is restarted whenever it ends, because the
  // guard may end it at any time on a busy machine.
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

  // Waits until `condition` holds, and restarts holders that have ended. Throws
  // after 1 min, so that a failure does not hang the test.
  void WaitUntil(const std::function<bool()>& condition) {
    const auto limit =
        std::chrono::steady_clock::now() + std::chrono::minutes(1);
    while (!condition()) {
      if (std::chrono::steady_clock::now() > limit)
        throw std::runtime_error("condition not met within 1 min");
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

  // Waits until the program has stopped itself at the point of --stop-at.
  static void WaitUntilStopped(ChildProcess& holder) {
    BOOST_REQUIRE(holder.ReadLine().has_value());
  }

  // Number of orders from the first holder and from later ones.
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

  // Checks that fencing tokens never decrease and that no order arrived twice.
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

  // Stops a holder between its check of the lease and its order, waits until
  // another holder has ordered, and continues the first one. Returns the wait
  // status of the first holder if it has ended.
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

  // Checks that all reports of a window and customer have the same number of
  // requests, and that fencing tokens never decrease.
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

// A holder that is stopped between its check of the lease and its order must
// not send the order after another holder has acquired the lease. The platform
// does not check fencing tokens here, so only the guard can prevent the second
// order.
BOOST_AUTO_TEST_CASE(a_holder_stopped_before_its_order_is_killed_by_the_guard) {
  platform.SetFaults(R"({"check_fencing":false})");
  const auto status = StopAndContinueBeforeOrder("kernel");
  BOOST_REQUIRE(status.has_value());
  BOOST_TEST(WIFSIGNALED(*status));
  BOOST_TEST(WTERMSIG(*status) == SIGKILL);
  BOOST_TEST(FirstHolderOrders() == 0U);
  CheckHoldersOrderInSequenceWithoutRepeats();
}

// Where the guard does not work, as in a paused virtual machine, the platform
// must refuse the late order because of its stale fencing token.
BOOST_AUTO_TEST_CASE(
    a_receiver_that_checks_tokens_refuses_an_unguarded_holder) {
  const auto status = StopAndContinueBeforeOrder("none");
  BOOST_TEST(!status.has_value());
  BOOST_TEST(FirstHolderOrders() == 0U);
  CheckHoldersOrderInSequenceWithoutRepeats();
}

// A process that is stopped at an arbitrary moment and continued later must not
// order after another holder has ordered.
BOOST_AUTO_TEST_CASE(holders_stopped_at_any_moment_never_order_concurrently) {
  platform.SetFaults(R"({"check_fencing":false})");
  constexpr int kRounds = 12;
  std::mt19937 random(20261204);
  // The delay of 30 ms between check and send makes it likely that a stop falls
  // between them.
  for (const char* name : {"a", "b", "c"})
    StartRestartedHolder(name, {"--lease-ms", "600", "--send-delay-ms", "30"});
  const auto newest = [&] {
    const auto orders = platform.Orders();
    return orders.empty() ? 0 : orders.back().fencing_token.value();
  };
  for (int round = 0; round < kRounds; ++round) {
    auto count = platform.Orders().size() + 1 + random() % 4;
    WaitUntil([&] { return platform.Orders().size() >= count; });
    // The number of reads varies, so that the stop does not always come right
    // after an order.
    for (auto reads = random() % 150; reads > 0; --reads)
      (void)Rows("lease/");
    // The test does not know which process holds the lease, so it stops all but
    // one.
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

// The platform has received the order, but the holder died before it recorded
// this. Sending the order again would pay twice; ignoring it would make the
// plan wrong.
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

// The holder died between recording and sending an order. If the order stayed
// unresolved, the next holder could never order.
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

// A holder that sent an order again after a lost response would pay twice.
BOOST_AUTO_TEST_CASE(lost_platform_responses_cause_no_duplicate_order) {
  platform.SetFaults(R"({"path_prefix":"/orders","lost_answers":3})");
  StartRestartedHolder("a");
  WaitUntil([&] { return platform.Orders().size() >= 6; });
  CheckHoldersOrderInSequenceWithoutRepeats();
}

// Lost responses of the table service leave it unknown whether an order or its
// outcome is recorded; this must not lead to a second order.
BOOST_AUTO_TEST_CASE(lost_table_service_responses_cause_no_duplicate_order) {
  platform.SetFaults(R"({"path_prefix":"/table","lost_answers":8})");
  StartRestartedHolder("a");
  WaitUntil([&] { return platform.Orders().size() >= 6; });
  CheckHoldersOrderInSequenceWithoutRepeats();
}

// A platform that resumes after a stall executes calls whose caller has already
// timed out. The caller must not have sent these orders again.
BOOST_AUTO_TEST_CASE(a_platform_that_stalls_and_resumes_gets_no_order_twice) {
  StartRestartedHolder("a");
  WaitUntil([&] { return platform.Orders().size() >= 2; });
  platform.SetFaults(R"({"path_prefix":"/orders","freeze":true})");
  // After two more renewals, a call of the holder has timed out.
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
    // Long enough that no row is deleted during a test.
    windows.row_retention_windows = 1000;
  }

  static std::vector<std::string> Options(const std::string& stop_at) {
    return {"--window-ms", std::to_string(kWindowMs), "--stop-at", stop_at};
  }

  // Records kRequests requests of two customers over several windows.
  void CountRequests(UsageRecorder& recorder) {
    for (int i = 0; i < kRequests; ++i) {
      recorder.Record(CustomerId(i % 2 == 0 ? "k1" : "k2"),
                      {1, Tokens(10), Tokens(20)});
      (void)recorder.Flush(kTimeout);
    }
  }

  // Checks that all requests are reported once if holder `a` stops at `point`
  // and is killed there, and `b` acquires the lease.
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

// If the next holder skipped a window that was sealed but not reported, its
// usage would not be billed.
BOOST_AUTO_TEST_CASE(a_window_sealed_by_a_dead_holder_is_reported_by_the_next) {
  CheckReportsAfterHolderDiesAt("before-report");
}

// The platform has received a report, but its sender died before the response.
// The next holder sends it again and must not report other totals.
BOOST_AUTO_TEST_CASE(
    a_report_whose_sender_died_before_the_response_keeps_its_totals) {
  CheckReportsAfterHolderDiesAt("after-report");
}

// A report that is sent again after a lost response must not contain other
// totals.
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

// A holder that is stopped before it sends a report must not send it after
// another holder has reported; the guard has to end it as for orders.
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

// A router may write usage while its window is being closed. Usage that misses
// its window must be counted as late and reported exactly once.
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
