#ifndef CHECK_LEASE_WORLD_H_
#define CHECK_LEASE_WORLD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "gateway/duties/duty_lease.h"

namespace bamboomount::check {

// Two instances with the real DutyLease, and the row of the lease in the store.
// Calls are performed, answered, given up and performed late in any order;
// an instance sleeps as long as it takes no step. The store may come back from
// an older copy: versions are given out again, and the era rises by one.
//
// Properties: no two instances hold the lease at the same time, and a holder
// has a newer token than another one before it.
class LeaseWorld {
 public:
  struct Options {
    // How often the store takes a copy and comes back from the last one. Before
    // the first copy it comes back empty.
    int copies = 0;
    int restores = 0;
    // Whether a read or a claim with its answer may also be one step, so that a
    // path of a few steps spans several tenures.
    bool has_whole_calls = false;
  };

  explicit LeaseWorld(Options options);

  std::vector<std::string> Steps() const;
  void Take(std::size_t step);
  std::string State() const;
  std::string Violation() const;

 private:
  static constexpr std::size_t kInstances = 2;

  enum class Call { kNone, kRead, kClaim };
  struct Instance {
    explicit Instance(DutyLease its_lease) : lease(std::move(its_lease)) {}

    DutyLease lease;
    Call call = Call::kNone;
    // The store as it was read.
    LeaseSnapshot read;
    std::optional<DutyLease::Claim> claim;
    Instant sent;
    bool performed = false;
    bool committed = false;
    // What the store answered to the claim.
    RowVersion version;
    StoreEra era;
    // Claims that were given up: their numbers and when they were sent.
    std::vector<std::pair<std::uint64_t, Instant>> given_up;
  };
  struct LateClaim {
    DutyLease::Claim claim;
    std::size_t instance = 0;
  };
  struct Step {
    std::string name;
    void (LeaseWorld::*take)(std::size_t);
    std::size_t argument = 0;
  };
  class StateText;

  std::vector<Step> PossibleSteps() const;
  void AddStepsOf(std::size_t instance, std::vector<Step>& steps) const;
  void AddStepsOfStore(std::vector<Step>& steps) const;
  void PassTime(std::size_t ticks);
  void Read(std::size_t instance);
  void ReceiveRow(std::size_t instance);
  void SendClaim(std::size_t instance);
  void PerformClaim(std::size_t instance);
  void ReceiveOutcome(std::size_t instance);
  void GiveUpClaim(std::size_t instance);
  void PerformLate(std::size_t index);
  void ReadAtOnce(std::size_t instance);
  void ClaimAtOnce(std::size_t instance);
  void TakeCopy(std::size_t);
  void RestoreCopy(std::size_t);
  bool Write(const DutyLease::Claim& claim);
  void Check();

  const Options options_;
  std::vector<Instance> instances_;
  std::vector<LateClaim> late_claims_;
  LeaseSnapshot store_;
  LeaseSnapshot copy_;
  int copies_ = 0;
  int restores_ = 0;
  Instant now_;
  // The last holder and its token.
  std::size_t last_holder_ = 0;
  FencingToken newest_token_;
  std::string violation_;
};

}  // namespace bamboomount::check

#endif  // CHECK_LEASE_WORLD_H_
