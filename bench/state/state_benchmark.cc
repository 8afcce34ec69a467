// Measures the cost of operators' changes at the target size: 1,000 customers,
// 630 backend servers, 6 models, 6 tiers and 6 availability zones in 3 regions.
#include <benchmark/benchmark.h>

#include <sstream>
#include <string>
#include <vector>

#include "state/state.h"

namespace bamboomount {
namespace {

constexpr int kCustomers = 1000;
constexpr int kBackends = 630;
constexpr int kModels = 6;
constexpr int kClasses = 6;
constexpr int kZones = 6;
constexpr int kRegions = 3;
// One in ten keys is withdrawn.
constexpr int kKeys = 3000;

// Returns the text of an array of `count` rules; `make_rule` returns the text
// of the rule with the given index.
template <typename MakeRule>
std::string Section(const char* name, int count, MakeRule make_rule) {
  std::ostringstream out;
  out << "\"" << name << "\": [\n";
  for (int i = 0; i < count; ++i)
    out << make_rule(i) << (i + 1 < count ? "," : "")
        << " // ANNA: asked for by the crew of this season\n";
  out << "]";
  return out.str();
}

std::string TargetSizeConfig() {
  const auto n = [](int number) { return std::to_string(number); };
  std::ostringstream out;
  out << "{\n"
      << Section("zones", kZones,
                 [&](int i) {
                   return "{\"zone\":\"zone-" + n(i) +
                          "\",\"region\":\"region-" + n(i % kRegions) + "\"}";
                 })
      << ",\n"
      << Section("pools", kModels * kRegions,
                 [&](int i) {
                   return "{\"pool\":\"pool-" + n(i) +
                          "\",\"kind\":\"model\",\"model\":\"model-" + n(i) +
                          "\",\"region\":\"region-" + n(i % kRegions) +
                          "\",\"cell_size\":8}";
                 })
      << ",\n"
      << Section("backends", kBackends,
                 [&](int i) {
                   return "{\"backend\":\"backend-" + n(i) +
                          "\",\"address\":\"10.0." + n(i / 250) + "." +
                          n(i % 250) + ":9000\",\"zone\":\"zone-" +
                          n(i % kZones) + "\",\"pool\":\"pool-" +
                          n(i % (kModels * kRegions)) +
                          "\",\"kind\":\"firm\",\"cost_per_hour\":4,"
                          "\"slots\":8,\"checks_fencing\":true}";
                 })
      << ",\n"
      << Section("classes", kClasses,
                 [&](int i) {
                   return "{\"class\":\"class-" + n(i) + "\",\"tier\":" + n(i) +
                          ",\"first_token_ms\":430,\"inter_token_ms\":27,"
                          "\"queue_limit\":200}";
                 })
      << ",\n"
      << Section("routes", 1,
                 [](int) {
                   return "{\"path\":\"/v1/chat/completions\",\"open\":false,"
                          "\"repeatable\":true}";
                 })
      << ",\n"
      << Section("customers", kCustomers,
                 [&](int i) {
                   return "{\"customer\":\"customer-" + n(i) +
                          "\",\"share\":1,\"classes\":[\"class-" +
                          n(i % kClasses) + "\",\"class-" +
                          n((i + 1) % kClasses) + "\"]}";
                 })
      << ",\n"
      << Section("limits", 1,
                 [](int) {
                   return "{\"limit\":\"retry_budget_percent\",\"value\":10}";
                 })
      << "\n}\n";
  return out.str();
}

Change MakeChange(const ControlState& state, ChangeBody body) {
  return {state.sequence + ChangeSequence(1), "ANNA", 1796000000,
          std::move(body), RandomHex(16)};
}

Change ConfigChange(const ControlState& state) {
  static const std::string text = TargetSizeConfig();
  return MakeChange(state,
                    ConfigApplied{state.config_version + ConfigVersion(1),
                                  state.config_version, text});
}

const ControlState& TargetSizeState() {
  static const ControlState target = [] {
    ControlState state;
    state = ApplyChange(state, ConfigChange(state)).value();
    for (int i = 0; i < kKeys; ++i) {
      const KeyId key("key-" + std::to_string(i));
      state.keys.emplace(
          KeyDigest(Sha256Hex(key.value())),
          KeyEntry{key,
                   CustomerId("customer-" + std::to_string(i % kCustomers)),
                   i % 10 == 0});
    }
    return state;
  }();
  return target;
}

void CountBytes(benchmark::State& state, std::size_t bytes) {
  state.counters["bytes"] = static_cast<double>(bytes);
}

// Parsing of a configuration text.
void ReadConfiguration(benchmark::State& state) {
  const std::string text = TargetSizeConfig();
  for (auto _ : state) {
    auto reading = ReadServiceConfig(text);
    if (!reading.errors.empty())
      state.SkipWithError(reading.errors.front().message.c_str());
    benchmark::DoNotOptimize(reading);
  }
  CountBytes(state, text.size());
}
BENCHMARK(ReadConfiguration)->Unit(benchmark::kMillisecond);

// Cost at each router of a configuration that a peer pushed.
void ApplyPushedConfiguration(benchmark::State& state) {
  const ControlState& before = TargetSizeState();
  const std::string encoded = EncodeChange(ConfigChange(before));
  for (auto _ : state) {
    auto after = ApplyChange(before, DecodeChange(encoded).value());
    benchmark::DoNotOptimize(after);
  }
  CountBytes(state, encoded.size());
}
BENCHMARK(ApplyPushedConfiguration)->Unit(benchmark::kMillisecond);

// Cost at each router of a key withdrawal that a peer pushed.
void ApplyPushedWithdrawal(benchmark::State& state) {
  const ControlState& before = TargetSizeState();
  const std::string encoded =
      EncodeChange(MakeChange(before, KeyWithdrawn{KeyId("key-1")}));
  for (auto _ : state) {
    auto after = ApplyChange(before, DecodeChange(encoded).value());
    benchmark::DoNotOptimize(after);
  }
  CountBytes(state, encoded.size());
}
BENCHMARK(ApplyPushedWithdrawal)->Unit(benchmark::kMillisecond);

// Cost at the instance that writes a snapshot.
void EncodeSnapshot(benchmark::State& state) {
  const ControlState& target = TargetSizeState();
  std::size_t bytes = 0;
  for (auto _ : state)
    bytes = EncodeControlState(target).size();
  CountBytes(state, bytes);
}
BENCHMARK(EncodeSnapshot)->Unit(benchmark::kMillisecond);

// Cost at a router that starts from a snapshot.
void DecodeSnapshot(benchmark::State& state) {
  const std::string text = EncodeControlState(TargetSizeState());
  for (auto _ : state) {
    auto decoded = DecodeControlState(text);
    benchmark::DoNotOptimize(decoded);
  }
  CountBytes(state, text.size());
}
BENCHMARK(DecodeSnapshot)->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace bamboomount

BENCHMARK_MAIN();
