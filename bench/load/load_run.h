#ifndef LOAD_LOAD_RUN_H_
#define LOAD_LOAD_RUN_H_

#include <string>

#include "load/load_options.h"
#include "load/samples.h"

namespace bamboomount {

// Where a run sends its requests.
struct LoadTarget {
  std::string address;
  std::string key;
  int pid = 0;
};

// Whether `address` is "ip:port" with a loopback address.
bool IsLoopback(const std::string& address);

// Runs `level` concurrent streams or callers once and adds to `result`. Blocks.
void RunLoad(const LoadOptions& options,
             const LoadTarget& target,
             int level,
             LoadResult& result);

}  // namespace bamboomount

#endif  // LOAD_LOAD_RUN_H_
