#include "gateway/admission/fair_allocation.h"

#include <algorithm>
#include <vector>

namespace bamboomount {
namespace {

// A customer's demand and weight in the division of one tier.
struct Claim {
  CustomerId customer;
  double demand = 0;
  double weight = 1;
};

std::vector<Claim> ClaimsOf(const CustomerDemand& demand,
                            const CustomerWeights& weights) {
  std::vector<Claim> claims;
  for (const auto& [customer, servers] : demand) {
    const auto weight = weights.find(customer);
    claims.push_back(
        {customer, servers, weight == weights.end() ? 1 : weight->second});
  }
  return claims;
}

// Weighted max-min fairness: takes the claims in order of demand for each unit
// of weight. Each one gets its demand or, if that is less, its share of what is
// left.
std::map<CustomerId, double> Divide(double capacity,
                                    std::vector<Claim> claims) {
  std::sort(claims.begin(), claims.end(), [](const Claim& a, const Claim& b) {
    return a.demand * b.weight < b.demand * a.weight;
  });
  double weight_left = 0;
  for (const Claim& claim : claims)
    weight_left += claim.weight;
  std::map<CustomerId, double> fractions;
  for (const Claim& claim : claims) {
    // Customers too small to be listed; max-min fairness serves them first.
    if (claim.customer.empty() && claims.size() > 1) {
      const double granted = std::min(claim.demand, capacity);
      fractions[claim.customer] = claim.demand > 0 ? granted / claim.demand : 1;
      capacity -= granted;
      weight_left -= claim.weight;
    }
  }
  for (const Claim& claim : claims) {
    if (fractions.contains(claim.customer))
      continue;
    const double share = capacity * claim.weight / weight_left;
    const double granted = std::min(claim.demand, share);
    fractions[claim.customer] = claim.demand > 0 ? granted / claim.demand : 1;
    capacity -= granted;
    weight_left -= claim.weight;
  }
  return fractions;
}

}  // namespace

double AdmittedFractions::For(Tier tier, const CustomerId& customer) const {
  if (!partial_tier_ || tier < *partial_tier_)
    return 1;
  if (*partial_tier_ < tier)
    return 0;
  auto fraction = fractions_.find(customer);
  if (fraction == fractions_.end())
    fraction = fractions_.find(CustomerId());
  return fraction == fractions_.end() ? 1 : fraction->second;
}

AdmittedFractions Allocate(double capacity,
                           const PoolDemandTable& demand,
                           const CustomerWeights& weights) {
  AdmittedFractions result;
  for (const auto& [tier, customers] : demand) {
    const double needed = TotalDemand(customers);
    if (needed > capacity) {
      result.partial_tier_ = tier;
      result.fractions_ = Divide(capacity, ClaimsOf(customers, weights));
      return result;
    }
    capacity -= needed;
  }
  return result;
}

}  // namespace bamboomount
