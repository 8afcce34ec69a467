#ifndef POLICY_OUTPUT_ESTIMATOR_H_
#define POLICY_OUTPUT_ESTIMATOR_H_

#include <map>
#include <optional>
#include <utility>

#include "base/base.h"

namespace bamboomount {

// Estimated output length of one request.
struct OutputEstimate {
  double expected_tokens = 0;
  // Most outputs are shorter.
  double upper_tokens = 0;

  // The estimate for a request that has produced `generated` tokens already.
  OutputEstimate Corrected(Tokens generated) const;
};

// Learns output lengths by customer and class.
class OutputEstimator {
 public:
  void Observe(const CustomerId& customer,
               const ClassId& class_id,
               Tokens output);
  // `max_output_tokens` is the caller's own limit.
  OutputEstimate Estimate(const CustomerId& customer,
                          const ClassId& class_id,
                          std::optional<Tokens> max_output_tokens) const;

 private:
  struct LengthStatistics {
    int samples = 0;
    double mean = 0;
    // Mean absolute deviation; the variance of heavy-tailed lengths does not
    // settle.
    double deviation = 0;
  };
  static void AddSample(LengthStatistics& record, double output);

  std::map<ClassId, LengthStatistics> by_class_;
  std::map<std::pair<CustomerId, ClassId>, LengthStatistics> by_customer_;
};

}  // namespace bamboomount

#endif  // POLICY_OUTPUT_ESTIMATOR_H_
