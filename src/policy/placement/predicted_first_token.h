#ifndef POLICY_PLACEMENT_PREDICTED_FIRST_TOKEN_H_
#define POLICY_PLACEMENT_PREDICTED_FIRST_TOKEN_H_

#include <list>
#include <memory>
#include <random>
#include <unordered_map>

#include "policy/placement_strategy.h"

namespace bamboomount {

// Grants to the backend server with the shortest predicted time to first
// token: prompt length, prefix affinity, load (own grants and lagged reports),
// earlier observations, availability zone. Scores a constant sample and the
// one that served the prefix last.
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

  double Score(const SlotRequest& request, const BackendState& state) const;
  // Tokens to be processed before the first output token.
  double Work(const SlotRequest& request, const BackendId& backend) const;
  BackendState* FindAffinityBackend(
      const SlotRequest& request,
      const PlacementCandidates& candidates) const;

  std::mt19937_64 random_;
  // Over all backend servers, at no other load; 0 until observed.
  double millis_per_token_ = 0;
  std::unordered_map<std::uint64_t, Affinity> affinities_;
  // Least recently used prefix first.
  std::list<std::uint64_t> lru_prefixes_;
};

}  // namespace bamboomount

#endif  // POLICY_PLACEMENT_PREDICTED_FIRST_TOKEN_H_
