#ifndef LOAD_SAMPLES_H_
#define LOAD_SAMPLES_H_

#include <cstdint>
#include <string>
#include <vector>

namespace bamboomount {

// Durations in microseconds. Quantiles are exact.
class Samples {
 public:
  void Add(std::int64_t micros) { values_.push_back(micros); }
  std::size_t count() const { return values_.size(); }
  // Returns the smallest sample that is at least as large as the given fraction
  // of all samples, by rank and without interpolation; 0 if there are no
  // samples.
  std::int64_t Quantile(double fraction) const;

 private:
  std::vector<std::int64_t> values_;
};

// Results of all rounds against one server at one concurrency level.
struct LoadResult {
  // From the request to its first token.
  Samples first_token;
  Samples between_tokens;
  // From the engine's timestamp in a chunk to its receipt.
  Samples token_passing;
  // From the request to the end of the response.
  Samples requests;
  std::int64_t failures = 0;
  std::string first_failure;
  // Duration of all rounds.
  double seconds = 0;
  // Growth of the resident memory per connection, in bytes; negative if it was
  // not measured.
  double bytes_per_idle_connection = -1;
  double bytes_per_running_stream = -1;
};

}  // namespace bamboomount

#endif  // LOAD_SAMPLES_H_
