// Costs of the controller and of counting usage, against a table store in
// memory: time of this process and number of store calls, no network.
#include <benchmark/benchmark.h>

#include <chrono>
#include <memory>
#include <string>

#include "controller/controller.h"

namespace bamboomount {
namespace {

using std::chrono::nanoseconds;
using std::chrono::seconds;

constexpr Millis kTimeout{1000};
constexpr int kWindowNumber = 100;

class NoGuard : public LeaseGuard {
 public:
  void Arm(nanoseconds) override {}
  void Disarm() override {}
};

class CountingReports : public UsageReports {
 public:
  Result<void> Submit(const UsageReport&, Millis) override {
    ++count;
    return Success();
  }
  std::int64_t count = 0;
};

UsageRow MakeUsageRow(int customers) {
  UsageRow row;
  for (int i = 0; i < customers; ++i) {
    row.customers[CustomerId("customer-" + std::to_string(i))] = {
        1000, Tokens(1000000), Tokens(1000000)};
  }
  row.final = true;
  return row;
}

// A fleet with one window that is due, in a store of its own.
struct DueWindow {
  DueWindow(int routers, int customers) {
    const std::string text = MakeUsageRow(customers).ToText();
    row_bytes = text.size();
    Transaction rows;
    rows.Put("usage-progress", std::to_string(kWindowNumber));
    for (int i = 0; i < routers; ++i) {
      rows.Put(UsageRowKey(UsageWindow(kWindowNumber), "r" + std::to_string(i)),
               text);
    }
    (void)store.Commit(rows, kTimeout);
    lease.Step();
  }

  InMemoryTableStore store;
  NoGuard guard;
  CountingReports reports;
  std::size_t row_bytes = 0;
  nanoseconds now = seconds(60 * (kWindowNumber + 1) + 10);
  LeaseManager lease{store, guard, InstanceId("a"), {}, [this] { return now; }};
  UsageSealer sealer{store, reports, lease, {}, [this] {
                       return std::chrono::system_clock::time_point(now);
                     }};
};

void SealAndReportWindow(benchmark::State& state) {
  const int routers = static_cast<int>(state.range(0));
  const int customers = static_cast<int>(state.range(1));
  std::size_t calls = 0;
  std::int64_t reports = 0;
  std::size_t bytes = 0;
  for (auto _ : state) {
    state.PauseTiming();
    auto due = std::make_unique<DueWindow>(routers, customers);
    const std::size_t before = due->store.call_count();
    state.ResumeTiming();
    while (!due->sealer.Step()) {
    }
    state.PauseTiming();
    calls = due->store.call_count() - before;
    reports = due->reports.count;
    bytes = due->row_bytes * static_cast<std::size_t>(routers);
    due.reset();
    state.ResumeTiming();
  }
  // The first window of a holder has one call more than the following ones:
  // it reads the progress row.
  state.counters["store_calls"] = static_cast<double>(calls);
  state.counters["reports"] = static_cast<double>(reports);
  state.counters["scanned_bytes"] = static_cast<double>(bytes);
}
BENCHMARK(SealAndReportWindow)
    ->ArgNames({"routers", "customers"})
    ->Args({9, 10})
    ->Args({9, 1000})
    ->Args({350, 10})
    ->Args({350, 100})
    ->Args({350, 1000})
    ->Unit(benchmark::kMillisecond);

void RenewLease(benchmark::State& state) {
  InMemoryTableStore store;
  NoGuard guard;
  nanoseconds now = seconds(1000);
  LeaseManager lease(store, guard, InstanceId("a"), {}, [&] { return now; });
  lease.Step();
  const std::size_t before = store.call_count();
  std::int64_t renewals = 0;
  for (auto _ : state) {
    now += seconds(2);
    lease.Step();
    ++renewals;
  }
  state.counters["store_calls_per_renewal"] =
      static_cast<double>(store.call_count() - before) /
      static_cast<double>(renewals);
}
BENCHMARK(RenewLease);

void ArmKernelGuard(benchmark::State& state) {
  KernelLeaseGuard guard;
  for (auto _ : state)
    guard.Arm(BootTimeNow() + std::chrono::hours(1));
}
BENCHMARK(ArmKernelGuard);

void RecordUsage(benchmark::State& state) {
  static InMemoryTableStore store;
  static UsageRecorder recorder(store, InstanceId("r"), {});
  const CustomerId customer("customer-" + std::to_string(state.thread_index()));
  for (auto _ : state)
    recorder.Record(customer, {1, Tokens(100), Tokens(1000)});
}
BENCHMARK(RecordUsage)->Threads(1)->Threads(4);

// One write of a router's row, every 5 s in production.
void FlushUsage(benchmark::State& state) {
  const int customers = static_cast<int>(state.range(0));
  InMemoryTableStore store;
  const std::chrono::system_clock::time_point now{seconds(6000)};
  UsageRecorder recorder(store, InstanceId("r"), {}, [&] { return now; });
  const CustomerUsage usage = MakeUsageRow(customers).customers;
  for (auto _ : state) {
    state.PauseTiming();
    for (const auto& [customer, totals] : usage)
      recorder.Record(customer, totals);
    const std::size_t before = store.call_count();
    state.ResumeTiming();
    (void)recorder.Flush(kTimeout);
    state.PauseTiming();
    state.counters["store_calls"] =
        static_cast<double>(store.call_count() - before);
    state.ResumeTiming();
  }
  state.counters["row_bytes"] =
      static_cast<double>(MakeUsageRow(customers).ToText().size());
}
BENCHMARK(FlushUsage)
    ->ArgName("customers")
    ->Arg(10)
    ->Arg(100)
    ->Arg(1000)
    ->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace bamboomount

BENCHMARK_MAIN();
