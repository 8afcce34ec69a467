#ifndef LOAD_LOAD_RUN_H_
#define LOAD_LOAD_RUN_H_

#include <string>

#include "load/load_options.h"
#include "load/samples.h"

namespace bamboomount {

// The server that a run measures.
struct LoadTarget {
  // "ip:port"
  std::string address;
  // Sent as a bearer token; none if empty.
  std::string key;
  // Process whose resident memory is measured; 0 for none.
  int pid = 0;
};

// Returns whether `address` is "ip:port" with a loopback address.
bool IsLoopback(const std::string& address);

// Runs one round with `level` concurrent streams or callers and adds its
// samples to `result`. Blocks until all requests have ended; failed requests
// are counted in `result`.
void RunLoad(const LoadOptions& options,
             const LoadTarget& target,
             int level,
             LoadResult& result);

}  // namespace bamboomount

#endif  // LOAD_LOAD_RUN_H_
