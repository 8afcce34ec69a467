#include <benchmark/benchmark.h>

#include <chrono>
#include <cstdio>

#include "policy/policy.h"

namespace bamboomount {
namespace {

constexpr int kTiers = 6;
constexpr int kCustomers = 1000;
constexpr int kSlots = 8;
constexpr int kSmallFleet = 10;
constexpr int kTargetFleet = 630;

// Upper bounds, as ratios to a baseline in the same process, so that they hold
// on machines of any speed. This one is for placement among kTargetFleet
// backend servers against kSmallFleet. The ratio is about 1.25; a strategy that
// scores all 630 backend servers exceeds the bound.
constexpr double kMaxChoiceRatio = 2.5;
// Against a first-come queue with as many waiting requests. The ratio is about
// 1.15.
constexpr double kMaxAdmissionRatio = 2.5;

const SteadyTime kStart{std::chrono::hours(1)};

SlotRequest MakeRequest(int id) {
  SlotRequest request;
  request.request = RequestId(std::to_string(id));
  request.tier = Tier(id % kTiers);
  request.class_id = ClassId("class" + std::to_string(id % kTiers));
  request.customer = CustomerId("customer" + std::to_string(id % kCustomers));
  request.queue_limit = 1000;
  request.prompt_tokens = Tokens(100 + id % 900);
  request.prefix_hash = id % 500;
  return request;
}

// A cell with about half of its slots taken.
class BusyCell {
 public:
  BusyCell(int backends, const CellOptions& options) : cell_(options) {
    std::vector<CellBackend> fleet;
    fleet.reserve(backends);
    for (int i = 0; i < backends; ++i) {
      fleet.push_back({BackendId("b" + std::to_string(i)),
                       ZoneId("z" + std::to_string(i % 6)), i % 2 == 0,
                       kSlots});
    }
    cell_.SetBackends(fleet, kStart);
    for (int i = 0; i < backends * kSlots / 2; ++i)
      Place();
  }

  // Grants a new request and finishes the oldest one.
  void Step() {
    Place();
    cell_.Finish(MakeRequest(finished_++).request,
                 {SlotEnd::kCompleted, Tokens(100), Millis(100), Millis(900)},
                 kStart + Millis(1000));
  }

 private:
  void Place() {
    cell_.Enqueue(MakeRequest(next_++), kStart);
    benchmark::DoNotOptimize(cell_.Decide(kStart));
  }

  CellScheduler cell_;
  int next_ = 0;
  int finished_ = 0;
};

// A cell with one slot and one waiting request per customer.
class FullCell {
 public:
  explicit FullCell(const CellOptions& options) : cell_(options) {
    cell_.SetBackends({{BackendId("b"), ZoneId("z"), false, 1}}, kStart);
    for (int i = 0; i < kCustomers; ++i)
      cell_.Enqueue(MakeRequest(next_++), kStart);
    granted_ = cell_.Decide(kStart).front().request;
  }

  // Enqueues a request, finishes the running one and grants the next.
  void Step() {
    cell_.Enqueue(MakeRequest(next_++), kStart);
    cell_.Finish(granted_,
                 {SlotEnd::kCompleted, Tokens(100), Millis(100), Millis(900)},
                 kStart + Millis(1000));
    granted_ = cell_.Decide(kStart).front().request;
  }

 private:
  CellScheduler cell_;
  RequestId granted_;
  int next_ = 0;
};

void Choice(benchmark::State& state, const std::string& placement) {
  CellOptions options;
  options.placement = placement;
  BusyCell cell(static_cast<int>(state.range(0)), options);
  for (auto _ : state)
    cell.Step();
}
BENCHMARK_CAPTURE(Choice, predicted_first_token, "predicted_first_token")
    ->Arg(kSmallFleet)
    ->Arg(100)
    ->Arg(kTargetFleet);
BENCHMARK_CAPTURE(Choice, least_in_flight, "least_in_flight")
    ->Arg(kSmallFleet)
    ->Arg(100)
    ->Arg(kTargetFleet);

void Admission(benchmark::State& state, const std::string& discipline) {
  CellOptions options;
  options.discipline = discipline;
  FullCell cell(options);
  for (auto _ : state)
    cell.Step();
}
BENCHMARK_CAPTURE(Admission, weighted_tiers, "weighted_tiers");
BENCHMARK_CAPTURE(Admission, first_come, "first_come");

// Returns the time of one step in nanoseconds, the best mean of several runs.
template <typename Cell>
double NanosPerStep(Cell cell) {
  constexpr int kSteps = 20000;
  constexpr int kRepeats = 5;
  double best = 1e18;
  for (int repeat = 0; repeat < kRepeats; ++repeat) {
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < kSteps; ++i)
      cell->Step();
    const std::chrono::duration<double, std::nano> elapsed =
        std::chrono::steady_clock::now() - start;
    best = std::min(best, elapsed.count() / kSteps);
  }
  return best;
}

// Prints the ratio and returns whether it is within the bound.
bool WithinBound(const char* what, double measured, double base, double bound) {
  const double ratio = measured / base;
  std::printf("%s: %.0f ns, baseline %.0f ns, ratio %.2f, bound %.1f: %s\n",
              what, measured, base, ratio, bound,
              ratio <= bound ? "ok" : "EXCEEDED");
  return ratio <= bound;
}

bool CheckBounds() {
  CellOptions baseline;
  baseline.discipline = "first_come";
  const bool choice = WithinBound(
      "placement among 630 backend servers against 10",
      NanosPerStep(std::make_unique<BusyCell>(kTargetFleet, CellOptions())),
      NanosPerStep(std::make_unique<BusyCell>(kSmallFleet, CellOptions())),
      kMaxChoiceRatio);
  const bool admission = WithinBound(
      "admission with 6 tiers and 1,000 customers against first come",
      NanosPerStep(std::make_unique<FullCell>(CellOptions())),
      NanosPerStep(std::make_unique<FullCell>(baseline)), kMaxAdmissionRatio);
  return choice && admission;
}

}  // namespace
}  // namespace bamboomount

int main(int argc, char** argv) {
  benchmark::Initialize(&argc, argv);
  benchmark::RunSpecifiedBenchmarks();
  return bamboomount::CheckBounds() ? 0 : 1;
}
