#include "policy/internal/straggler_detector.h"

#include <algorithm>
#include <vector>

namespace bamboomount {
namespace {

constexpr Millis kUpdateInterval{500};
constexpr int kMinSamples = 5;
// A median of two says nothing of which one is slow.
constexpr std::size_t kMinBackends = 3;
// Batches of different size alone make speeds differ by up to about two.
constexpr double kStragglerFraction = 0.4;
constexpr double kRecoveredFraction = 0.6;
constexpr double kGain = 0.2;

}  // namespace

void StragglerDetector::ObserveRate(BackendState& state,
                                    double tokens_per_second) {
  ++state.progress_samples;
  const double gain = std::max(kGain, 1.0 / state.progress_samples);
  state.tokens_per_second +=
      gain * (tokens_per_second - state.tokens_per_second);
}

void StragglerDetector::Update(BackendTable& backends, SteadyTime now) {
  if (now < last_update_ + kUpdateInterval)
    return;
  last_update_ = now;
  std::vector<BackendState*> observed;
  std::vector<double> rates;
  for (const auto& [id, state] : backends.states()) {
    if (!state->in_service() || state->progress_samples < kMinSamples)
      continue;
    observed.push_back(state.get());
    rates.push_back(state->tokens_per_second);
  }
  if (rates.size() < kMinBackends)
    return;
  const auto median =
      rates.begin() + static_cast<std::ptrdiff_t>(rates.size() / 2);
  std::nth_element(rates.begin(), median, rates.end());
  for (BackendState* state : observed) {
    if (state->health == BackendHealth::kHealthy &&
        state->tokens_per_second < kStragglerFraction * *median)
      backends.MarkUnhealthy(*state, BackendHealth::kStraggler, now);
    else if (state->health == BackendHealth::kStraggler &&
             state->tokens_per_second > kRecoveredFraction * *median)
      backends.MarkHealthy(*state, now);
  }
}

}  // namespace bamboomount
