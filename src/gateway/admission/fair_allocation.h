#ifndef GATEWAY_ADMISSION_FAIR_ALLOCATION_H_
#define GATEWAY_ADMISSION_FAIR_ALLOCATION_H_

#include <map>
#include <optional>

#include "gateway/admission/demand.h"

namespace bamboomount {

// Weights of customers in the division of capacity; 1 for those not listed.
using CustomerWeights = std::map<CustomerId, double>;

// The fraction of the requests of each tier and customer that fits into the
// capacity of a pool.
class AdmittedFractions {
 public:
  // All requests are admitted.
  AdmittedFractions() = default;

  // In [0, 1].
  double For(Tier tier, const CustomerId& customer) const;
  // Whether some requests are not admitted.
  bool limited() const { return partial_tier_.has_value(); }
  // The least urgent tier of which requests are admitted; empty if all are.
  const std::optional<Tier>& partial_tier() const { return partial_tier_; }

 private:
  friend AdmittedFractions Allocate(double capacity,
                                    const PoolDemandTable& demand,
                                    const CustomerWeights& weights);

  // The first tier that does not fit as a whole. More urgent tiers are admitted
  // completely, less urgent ones not at all.
  std::optional<Tier> partial_tier_;
  // Of the partial tier. The empty customer stands for those that are not
  // listed; without it they are admitted.
  std::map<CustomerId, double> fractions_;
};

// Divides `capacity`, in servers, among the demand. Tiers are served strictly
// in order of urgency. The tier that does not fit is divided by weighted
// max-min fairness: no customer gets more than its demand, and what one leaves
// goes to the others in proportion to their weights.
AdmittedFractions Allocate(double capacity,
                           const PoolDemandTable& demand,
                           const CustomerWeights& weights);

}  // namespace bamboomount

#endif  // GATEWAY_ADMISSION_FAIR_ALLOCATION_H_
