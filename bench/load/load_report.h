#ifndef LOAD_LOAD_REPORT_H_
#define LOAD_LOAD_REPORT_H_

#include <string>
#include <vector>

#include "load/samples.h"

namespace bamboomount {

// Results at one concurrency level. A side without an address has no requests.
struct LevelReport {
  int level = 0;
  LoadResult direct;
  LoadResult router;
};

// Formats the results, and what the router adds to each duration, for reading.
// Durations are in microseconds.
std::string ToText(const std::vector<LevelReport>& levels);
// The same as JSON.
std::string ToJson(const std::vector<LevelReport>& levels);

}  // namespace bamboomount

#endif  // LOAD_LOAD_REPORT_H_
