#include "policy/output_estimator.h"

#include <algorithm>
#include <cmath>

namespace bamboomount {
namespace {

constexpr double kDefaultExpectedTokens = 256;
constexpr double kDefaultUpperTokens = 2048;
// Below this many samples a customer's record says less than its class's.
constexpr int kMinSamples = 5;
constexpr double kMinGain = 0.05;
// For an exponential distribution, mean + 3 mean absolute deviations covers
// about 88 of 100 outputs.
constexpr double kUpperDeviations = 3;
// A running output that exceeds its estimate is expected to grow by this part
// of what it has produced, as heavy-tailed lengths do.
constexpr double kOverrunGrowth = 0.25;

}  // namespace

OutputEstimate OutputEstimate::Corrected(Tokens generated) const {
  const auto produced = static_cast<double>(generated.value());
  if (produced < expected_tokens)
    return *this;
  const double expected = produced * (1 + kOverrunGrowth);
  return {expected, std::max(upper_tokens, expected * (1 + kOverrunGrowth))};
}

void OutputEstimator::Observe(const CustomerId& customer,
                              const ClassId& class_id,
                              Tokens output) {
  const auto tokens = static_cast<double>(output.value());
  AddSample(by_class_[class_id], tokens);
  AddSample(by_customer_[{customer, class_id}], tokens);
}

OutputEstimate OutputEstimator::Estimate(
    const CustomerId& customer,
    const ClassId& class_id,
    std::optional<Tokens> max_output_tokens) const {
  OutputEstimate estimate{kDefaultExpectedTokens, kDefaultUpperTokens};
  const auto own = by_customer_.find({customer, class_id});
  const auto shared = by_class_.find(class_id);
  const LengthStatistics* record = nullptr;
  if (own != by_customer_.end() && own->second.samples >= kMinSamples)
    record = &own->second;
  else if (shared != by_class_.end() && shared->second.samples >= kMinSamples)
    record = &shared->second;
  if (record != nullptr) {
    estimate = {record->mean,
                record->mean + kUpperDeviations * record->deviation};
  }
  if (max_output_tokens) {
    const auto limit = static_cast<double>(max_output_tokens->value());
    estimate.expected_tokens = std::min(estimate.expected_tokens, limit);
    estimate.upper_tokens = std::min(estimate.upper_tokens, limit);
  }
  return estimate;
}

void OutputEstimator::AddSample(LengthStatistics& record, double output) {
  ++record.samples;
  const double gain = std::max(kMinGain, 1.0 / record.samples);
  record.deviation +=
      gain * (std::abs(output - record.mean) * (1 - gain) - record.deviation);
  record.mean += gain * (output - record.mean);
}

}  // namespace bamboomount
