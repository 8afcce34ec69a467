#include "policy/placement/predicted_first_token.h"

#include <algorithm>

namespace bamboomount {
namespace {

constexpr std::size_t kSampleSize = 16;
constexpr std::size_t kMaxPrefixes = 8192;
// Work of a request apart from its prompt, in prompt tokens.
constexpr double kFixedWorkTokens = 64;
// Part of the prompt that is processed again when its prefix is cached.
constexpr double kCachedWorkFraction = 0.3;
// Slowdown of the first token on a backend server whose slots are all taken.
constexpr double kLoadSlowdown = 2;
// Round trip to another availability zone, in milliseconds.
constexpr double kCrossZoneRoundTripMillis = 2;
// Used for comparisons only, until the first observation.
constexpr double kDefaultMillisPerToken = 0.5;
constexpr double kGain = 0.1;

double Slowdown(double load, const BackendState& state) {
  return 1 + kLoadSlowdown * load / std::max(1, state.backend.slots);
}

}  // namespace

std::unique_ptr<PlacementStrategy> PredictedFirstToken::Make(
    std::uint64_t seed) {
  return std::make_unique<PredictedFirstToken>(seed);
}

BackendState* PredictedFirstToken::Choose(
    const SlotRequest& request,
    const PlacementCandidates& candidates) {
  const auto available = candidates.available();
  if (available.empty())
    return nullptr;
  BackendState* best = FindAffinityBackend(request, candidates);
  double best_score = best == nullptr ? 0 : Score(request, *best);
  const auto consider = [&](BackendState* state) {
    if (Excludes(request, *state))
      return;
    const double score = Score(request, *state);
    if (best != nullptr && best_score <= score)
      return;
    best = state;
    best_score = score;
  };
  // A random start spreads requests over equal scores.
  std::uniform_int_distribution<std::size_t> pick(0, available.size() - 1);
  if (available.size() <= kSampleSize) {
    const std::size_t start = pick(random_);
    for (std::size_t i = 0; i < available.size(); ++i)
      consider(available[(start + i) % available.size()]);
    return best;
  }
  for (std::size_t i = 0; i < kSampleSize; ++i)
    consider(available[pick(random_)]);
  if (best != nullptr || request.excluded.empty())
    return best;
  std::for_each(available.begin(), available.end(), consider);
  return best;
}

void PredictedFirstToken::ObserveGrant(const SlotRequest& request,
                                       const BackendState& backend) {
  if (request.prefix_hash == 0)
    return;
  const auto found = affinities_.find(request.prefix_hash);
  if (found != affinities_.end()) {
    found->second.backend = backend.backend.backend;
    lru_prefixes_.splice(lru_prefixes_.end(), lru_prefixes_,
                         found->second.lru_position);
    return;
  }
  if (affinities_.size() >= kMaxPrefixes) {
    affinities_.erase(lru_prefixes_.front());
    lru_prefixes_.pop_front();
  }
  lru_prefixes_.push_back(request.prefix_hash);
  affinities_.emplace(
      request.prefix_hash,
      Affinity{backend.backend.backend, std::prev(lru_prefixes_.end())});
}

void PredictedFirstToken::ObserveFirstToken(const SlotRequest& request,
                                            BackendState& backend,
                                            int load,
                                            Millis time) {
  const double work =
      Work(request, backend.backend.backend) * Slowdown(load, backend);
  const double observed = static_cast<double>(time.count()) / work;
  if (millis_per_token_ == 0)
    millis_per_token_ = observed;
  const double ratio = observed / std::max(1e-9, millis_per_token_);
  backend.first_token_ratio += kGain * (ratio - backend.first_token_ratio);
  // Outliers of one backend server belong in its own ratio.
  millis_per_token_ +=
      kGain * (std::min(observed, 2 * millis_per_token_) - millis_per_token_);
}

double PredictedFirstToken::Score(const SlotRequest& request,
                                  const BackendState& state) const {
  const double per_token =
      millis_per_token_ == 0 ? kDefaultMillisPerToken : millis_per_token_;
  const double round_trip =
      state.backend.zone == request.entry_zone ? 0 : kCrossZoneRoundTripMillis;
  return per_token * Work(request, state.backend.backend) *
             Slowdown(state.running + state.external_load, state) *
             state.first_token_ratio +
         round_trip;
}

double PredictedFirstToken::Work(const SlotRequest& request,
                                 const BackendId& backend) const {
  const auto prompt = static_cast<double>(request.prompt_tokens.value());
  const auto found = affinities_.find(request.prefix_hash);
  const bool cached = request.prefix_hash != 0 && found != affinities_.end() &&
                      found->second.backend == backend;
  return kFixedWorkTokens + prompt * (cached ? kCachedWorkFraction : 1);
}

BackendState* PredictedFirstToken::FindAffinityBackend(
    const SlotRequest& request,
    const PlacementCandidates& candidates) const {
  const auto found = affinities_.find(request.prefix_hash);
  if (request.prefix_hash == 0 || found == affinities_.end())
    return nullptr;
  BackendState* state = candidates.FindAvailable(found->second.backend);
  return state == nullptr || Excludes(request, *state) ? nullptr : state;
}

}  // namespace bamboomount
