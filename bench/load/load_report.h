#ifndef LOAD_LOAD_REPORT_H_
#define LOAD_LOAD_REPORT_H_

#include <string>
#include <vector>

#include "load/samples.h"

namespace bamboomount {

// Results of one level; a side without an address has no requests.
struct LevelReport {
  int level = 0;
  LoadResult direct;
  LoadResult router;
};

std::string ToText(const std::vector<LevelReport>& levels);
std::string ToJson(const std::vector<LevelReport>& levels);

}  // namespace bamboomount

#endif  // LOAD_LOAD_REPORT_H_
