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
// an instance sleeps as long as it takes no step.
//
// Properties: no two instances hold the lease at the same time, and a holder
// has a newer token than another one before it.
class LeaseWorld {
 public:
  LeaseWorld();

  std::vector<std::string> Steps() const;
  void Take(std::size_t step);
  std::string State() const;
  std::string Violation() const;

 private:
  static constexpr std::size_t kInstances = 2;

  enum class Call { kNone, kRead, kClaim };
  struct Instance {
    DutyLease lease;
    Call call = Call::kNone;
    // The row as it was read, or after the claim was performed.
    std::optional<DutyLeaseRow> row;
    RowVersion version;
    std::optional<DutyLease::Claim> claim;
    Instant sent;
    bool performed = false;
    bool committed = false;
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

  std::vector<Step> PossibleSteps() const;
  void PassTime(std::size_t ticks);
  void Read(std::size_t instance);
  void ReceiveRow(std::size_t instance);
  void SendClaim(std::size_t instance);
  void PerformClaim(std::size_t instance);
  void ReceiveOutcome(std::size_t instance);
  void GiveUpClaim(std::size_t instance);
  void PerformLate(std::size_t index);
  std::optional<RowVersion> Write(const DutyLease::Claim& claim);
  void Check();
  std::string Describe(const DutyLease& lease) const;

  std::vector<Instance> instances_;
  std::vector<LateClaim> late_claims_;
  std::optional<DutyLeaseRow> row_;
  RowVersion version_;
  Instant now_;
  // The last holder and its token.
  std::size_t last_holder_ = 0;
  FencingToken newest_token_;
  std::string violation_;
};

}  // namespace bamboomount::check

#endif  // CHECK_LEASE_WORLD_H_
