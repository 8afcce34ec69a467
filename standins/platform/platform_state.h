#ifndef STANDINS_PLATFORM_PLATFORM_STATE_H_
#define STANDINS_PLATFORM_PLATFORM_STATE_H_

#include <map>
#include <mutex>
#include <string>

#include "fault_switches.h"
#include "fenced_log.h"
#include "lagging_directory.h"
#include "provider/provider.h"
#include "rate_limit.h"

namespace bamboomount::standin {

// State of the platform stand-in, in memory only. Each member is thread-safe,
// except `objects`, which objects_mutex guards.
struct PlatformState {
  // Rate limit of weight fetches until the switch weights_per_second is set.
  static constexpr int kDefaultWeightsPerSecond = 4;

  InMemoryTableStore table;
  FencedLog<BackendOrder> orders;
  FencedLog<UsageReport> usage;
  LaggingDirectory directory;
  RateLimit weights{kDefaultWeightsPerSecond};
  FaultSwitches faults;

  std::mutex objects_mutex;
  std::map<std::string, std::string> objects;
};

}  // namespace bamboomount::standin

#endif  // STANDINS_PLATFORM_PLATFORM_STATE_H_
