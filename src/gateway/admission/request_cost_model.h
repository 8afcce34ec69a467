#ifndef GATEWAY_ADMISSION_REQUEST_COST_MODEL_H_
#define GATEWAY_ADMISSION_REQUEST_COST_MODEL_H_

#include <map>
#include <string>
#include <utility>

#include "gateway/boot_clock.h"
#include "gateway/placement/prefill_throughput.h"
#include "gateway/traffic/pool.h"

namespace bamboomount {

// What the cost of a request depends on.
struct CostQuery {
  PoolId pool;
  // Name of the route; requests of one route take similar times.
  std::string route;
  // Prompt tokens that the engine has to prefill.
  Tokens prefill_tokens;
  // Tokens that the request holds in the engine's memory: prompt and output.
  Tokens memory_tokens;
  // Null for plain services.
  const EngineTraits* engine = nullptr;
  Millis target_latency{0};
};

// Predicts for how long a request keeps one backend server busy, in
// server-seconds: the share of the server's scarcest resource that the request
// uses, times how long it uses it. The resources are slots, the prefill
// throughput and the KV cache of an engine. Not thread-safe.
class RequestCostModel {
 public:
  explicit RequestCostModel(const PrefillThroughput& throughput)
      : throughput_(throughput) {}

  // `slots`: requests that a server of the pool processes concurrently. Before
  // the first answer on a route, its target latency is taken for the time at
  // the server.
  double ServerSeconds(const CostQuery& query, int slots) const;
  // Records how long an answer took. `server_was_full`: the server had more
  // requests than slots, so that the time contains a wait; it is ignored.
  void RecordAnswer(const CostQuery& query,
                    Millis time_at_server,
                    bool server_was_full);

 private:
  using RouteKey = std::pair<PoolId, std::string>;

  const PrefillThroughput& throughput_;
  // Mean time at the server in seconds.
  std::map<RouteKey, double> seconds_at_server_;
};

}  // namespace bamboomount

#endif  // GATEWAY_ADMISSION_REQUEST_COST_MODEL_H_
