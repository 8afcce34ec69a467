#ifndef LOAD_SAMPLES_H_
#define LOAD_SAMPLES_H_

#include <cstdint>
#include <string>
#include <vector>

namespace bamboomount {

// Durations in microseconds with exact quantiles.
class Samples {
 public:
  void Add(std::int64_t micros) { values_.push_back(micros); }
  std::size_t count() const { return values_.size(); }
  // The smallest value that at least `fraction` of all values do not exceed; 0
  // if there are none.
  std::int64_t Quantile(double fraction) const;

 private:
  std::vector<std::int64_t> values_;
};

// What one kind of run measured at one level.
struct LoadResult {
  Samples first_token;
  Samples between_tokens;
  // From the engine's time stamp in a chunk to its arrival here.
  Samples token_passing;
  // Whole requests.
  Samples requests;
  std::int64_t failures = 0;
  std::string first_failure;
  double seconds = 0;
  // Growth of the resident memory for each connection, in bytes; negative if
  // not measured.
  double bytes_per_idle_connection = -1;
  double bytes_per_running_stream = -1;
};

}  // namespace bamboomount

#endif  // LOAD_SAMPLES_H_
