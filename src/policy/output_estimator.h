#ifndef POLICY_OUTPUT_ESTIMATOR_H_
#define POLICY_OUTPUT_ESTIMATOR_H_

#include <map>
#include <optional>
#include <utility>

#include "base/base.h"

namespace bamboomount {

// Estimated output length of one request, in tokens.
struct OutputEstimate {
  double expected_tokens = 0;
  // Upper estimate; most outputs are shorter.
  double upper_tokens = 0;

  // Returns the estimate for a request that has already generated `generated`
  // tokens.
  OutputEstimate Corrected(Tokens generated) const;
};

// Estimates output lengths from past outputs of the same customer and class.
// Not thread-safe.
class OutputEstimator {
 public:
  // Adds the output length of a completed request.
  void Observe(const CustomerId& customer,
               const ClassId& class_id,
               Tokens output);
  // Uses the customer's own statistics, else those of its class, else defaults;
  // never exceeds `max_output_tokens`, the caller's limit.
  OutputEstimate Estimate(const CustomerId& customer,
                          const ClassId& class_id,
                          std::optional<Tokens> max_output_tokens) const;

 private:
  struct LengthStatistics {
    int samples = 0;
    double mean = 0;
    // Mean absolute deviation; the sample variance of heavy-tailed lengths does
    // not converge.
    double deviation = 0;
  };
  static void AddSample(LengthStatistics& record, double output);

  std::map<ClassId, LengthStatistics> by_class_;
  std::map<std::pair<CustomerId, ClassId>, LengthStatistics> by_customer_;
};

}  // namespace bamboomount

#endif  // POLICY_OUTPUT_ESTIMATOR_H_
