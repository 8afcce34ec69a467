#ifndef POLICY_PLACEMENT_PREDICTED_FIRST_TOKEN_H_
#define POLICY_PLACEMENT_PREDICTED_FIRST_TOKEN_H_

#include <list>
#include <memory>
#include <random>
#include <unordered_map>

#include "policy/placement_strategy.h"

namespace bamboomount {

// Chooses the backend server with the shortest predicted time to first token.
// The prediction uses prompt length, prefix affinity, load (own grants and
// delayed reports), earlier observations and the availability zone. To bound
// the cost of a choice, it scores a sample of fixed size and the backend server
// that last served the prefix.
class PredictedFirstToken : public PlacementStrategy {
 public:
  static std::unique_ptr<PlacementStrategy> Make(std::uint64_t seed);
  explicit PredictedFirstToken(std::uint64_t seed) : random_(seed) {}

  BackendState* Choose(const SlotRequest& request,
                       const PlacementCandidates& candidates) override;
  void ObserveGrant(const SlotRequest& request,
                    const BackendState& backend) override;
  void ObserveFirstToken(const SlotRequest& request,
                         BackendState& backend,
                         int load,
                         Millis time) override;

 private:
  struct Affinity {
    BackendId backend;
    std::list<std::uint64_t>::iterator lru_position;
  };

  // Predicted time to first token in milliseconds; lower is better.
  double Score(const SlotRequest& request, const BackendState& state) const;
  // Work before the first output token, in prompt tokens.
  double Work(const SlotRequest& request, const BackendId& backend) const;
  // Returns the backend server that last served the prefix, or nullptr if it is
  // unknown, unavailable or excluded.
  BackendState* FindAffinityBackend(
      const SlotRequest& request,
      const PlacementCandidates& candidates) const;

  std::mt19937_64 random_;
  // Mean over all backend servers, corrected for load; 0 until the first
  // observation.
  double millis_per_token_ = 0;
  // The backend server that last served each prefix.
  std::unordered_map<std::uint64_t, Affinity> affinities_;
  // Known prefixes, least recently used first.
  std::list<std::uint64_t> lru_prefixes_;
};

}  // namespace bamboomount

#endif  // POLICY_PLACEMENT_PREDICTED_FIRST_TOKEN_H_
