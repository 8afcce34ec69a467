#ifndef GATEWAY_PLACEMENT_ENGINE_ADMISSION_H_
#define GATEWAY_PLACEMENT_ENGINE_ADMISSION_H_

#include <map>

#include "gateway/boot_clock.h"
#include "gateway/membership/backend_server.h"
#include "gateway/placement/backend_loads.h"
#include "gateway/placement/prefill_throughput.h"

namespace bamboomount {

// What the admission check needs to know of a request.
struct EngineAdmissionRequest {
  // Priority among all requests; 0 is the highest.
  Tier priority;
  // Whether the request ranks above the lowest urgency level. Engines serve
  // urgent requests before the others.
  bool urgent = false;
  // Target for the time to the first token.
  Millis target_latency{0};
};

// Admission control for model engines. Not thread-safe.
//
// In a burst beyond the pool's capacity, sending every request on would make
// all of them late, and engines would prefill prompts whose callers have given
// up. A request is therefore sent to an engine only if its first token is
// predicted to arrive within a fraction of its target latency; other requests
// wait for a limited time and are then rejected with a time to retry. Engines
// serve urgent requests first, so only urgent tokens count as queued ahead of
// an urgent request.
//
// Requests are shed in reverse order of priority: an urgent request that finds
// no engine in time for its target is still sent to one that serves it late.
// After a request was rejected, those of lower priority are held back for
// kPriorityHoldTime.
class EngineAdmission {
 public:
  // Time for which less urgent requests are held back.
  static constexpr Millis kPriorityHoldTime{1000};

  EngineAdmission(const BackendLoads& loads,
                  const PrefillThroughput& throughput)
      : loads_(loads), throughput_(throughput) {}

  // Whether the server has a free place in its queue and the predicted wait
  // there fits the request's target latency.
  bool Admits(const BackendServer& server,
              const EngineAdmissionRequest& request) const;
  // The same for a request that may miss its target because requests that are
  // not urgent are shed before it. False for requests that are not urgent.
  bool AdmitsLate(const BackendServer& server,
                  const EngineAdmissionRequest& request) const;
  // Whether a request of higher priority was rejected in the pool within
  // kPriorityHoldTime.
  bool MustYield(const PoolId& pool,
                 const EngineAdmissionRequest& request,
                 Instant now) const;
  // Records that no server of the pool admitted the request, late or not.
  void RecordRejection(const PoolId& pool,
                       const EngineAdmissionRequest& request,
                       Instant now);

 private:
  bool FitsQueue(const BackendServer& server,
                 const EngineAdmissionRequest& request,
                 double max_targets) const;

  const BackendLoads& loads_;
  const PrefillThroughput& throughput_;
  // Time of the last rejection for each priority.
  std::map<PoolId, std::map<Tier, Instant>> last_rejection_;
};

}  // namespace bamboomount

#endif  // GATEWAY_PLACEMENT_ENGINE_ADMISSION_H_
