#include "gateway/placement/engine_admission.h"

namespace bamboomount {
namespace {

// Part of the target that may pass in the engine's queue; the rest is for the
// request's own prompt and for what other instances send at the same time.
constexpr double kQueueTimeFraction = 0.6;
// Requests at an engine, as a max_requests_per_slot of its slots, up to which
// one more finds room in its queue.
constexpr double kMaxRequestsPerSlot = 1.25;
// The same for urgent requests, which go tokens_ahead those that wait.
constexpr double kMaxUrgentRequestsPerSlot = 2;

}  // namespace

bool EngineAdmission::Admits(const BackendServer& server,
                             const EngineAdmissionRequest& request) const {
  const BackendLoad load = loads_.Total(server.id);
  const double max_requests_per_slot =
      request.urgent ? kMaxUrgentRequestsPerSlot : kMaxRequestsPerSlot;
  if (load.requests >= server.slots * max_requests_per_slot)
    return false;
  const Tokens tokens_ahead(request.urgent ? load.urgent_prefill_tokens
                                           : load.pending_prefill_tokens);
  const auto limit = std::chrono::duration_cast<Millis>(request.target_latency *
                                                        kQueueTimeFraction);
  return throughput_.PrefillTime(server.pool, tokens_ahead) <= limit;
}

bool EngineAdmission::MustYield(const PoolId& pool,
                                const EngineAdmissionRequest& request,
                                Instant now) const {
  const auto rejections = last_rejection_.find(pool);
  if (rejections == last_rejection_.end())
    return false;
  for (const auto& [priority, at] : rejections->second) {
    if (priority < request.priority && now - at < kPriorityHoldTime)
      return true;
  }
  return false;
}

void EngineAdmission::RecordRejection(const PoolId& pool,
                                      const EngineAdmissionRequest& request,
                                      Instant now) {
  last_rejection_[pool][request.priority] = now;
}

}  // namespace bamboomount
