#ifndef GATEWAY_PLACEMENT_ENGINE_ADMISSION_H_
#define GATEWAY_PLACEMENT_ENGINE_ADMISSION_H_

#include <map>

#include "gateway/boot_clock.h"
#include "gateway/membership/backend_server.h"
#include "gateway/placement/backend_loads.h"
#include "gateway/placement/prefill_throughput.h"

namespace bamboomount {

// What an engine must have room for.
struct EngineAdmissionRequest {
  // Rank among all requests, 0 first.
  Tier priority;
  // It is more urgent than the least urgent ones, which wait for it at engines.
  bool urgent = false;
  Millis target_latency{0};
};

// Decides whether a request should go to an engine at all.
//
// Pattern: a burst beyond capacity. If all of it is sent on, every request
// waits behind the others and comes late, and engines read prompts of callers
// that have given up. A request is therefore only sent where its first token is
// predicted to come within a part of its target; the others are refused at
// once, with the time at which to come back. Engines serve urgent requests
// first, so that these wait for urgent ones only. While a more urgent request
// finds no room, less urgent ones are not sent either.
class EngineAdmission {
 public:
  // For so long after a request found no room, less urgent ones get none.
  static constexpr Millis kPriorityHoldTime{1000};

  EngineAdmission(const BackendLoads& loads,
                  const PrefillThroughput& throughput)
      : loads_(loads), throughput_(throughput) {}

  // Whether a first token from the server would come in time.
  bool Admits(const BackendServer& server,
              const EngineAdmissionRequest& request) const;
  // Whether more urgent requests found no room a short time ago.
  bool MustYield(const PoolId& pool,
                 const EngineAdmissionRequest& request,
                 Instant now) const;
  // No server of the pool had room for the request.
  void RecordRejection(const PoolId& pool,
                       const EngineAdmissionRequest& request,
                       Instant now);

 private:
  const BackendLoads& loads_;
  const PrefillThroughput& throughput_;
  // When a request of each rank last found no room.
  std::map<PoolId, std::map<Tier, Instant>> last_rejection_;
};

}  // namespace bamboomount

#endif  // GATEWAY_PLACEMENT_ENGINE_ADMISSION_H_
