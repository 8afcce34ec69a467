#include "gateway/placement/engine_admission.h"

namespace bamboomount {
namespace {

// Fraction of the target latency that a request may wait in the engine's queue.
// The rest is for its own prefill and for requests that other instances send at
// the same time.
constexpr double kQueueTimeFraction = 0.6;
// Multiple of the target latency that an urgent request may wait if no engine
// serves it in time. Callers leave a stream that has not begun after a few
// times the target latency.
constexpr double kMaxLateTargets = 3;
// Requests per slot from which on an engine admits no more.
constexpr double kMaxRequestsPerSlot = 1.25;
// The same limit for urgent requests. It is higher because engines serve urgent
// requests before the waiting ones.
constexpr double kMaxUrgentRequestsPerSlot = 2;

// Conversations per slot from which on an engine admits no more requests. They
// keep their slots for seconds, so that even urgent requests would wait.
constexpr double kMaxLongAnswersPerSlot = 0.8;

}  // namespace

bool EngineAdmission::Admits(const BackendServer& server,
                             const EngineAdmissionRequest& request) const {
  return FitsQueue(server, request, kQueueTimeFraction);
}

bool EngineAdmission::AdmitsLate(const BackendServer& server,
                                 const EngineAdmissionRequest& request) const {
  return request.urgent && FitsQueue(server, request, kMaxLateTargets);
}

bool EngineAdmission::FitsQueue(const BackendServer& server,
                                const EngineAdmissionRequest& request,
                                double max_targets) const {
  const BackendLoad load = loads_.Total(server.id);
  const double max_requests_per_slot =
      request.urgent ? kMaxUrgentRequestsPerSlot : kMaxRequestsPerSlot;
  if (load.requests >= server.slots * max_requests_per_slot ||
      load.long_answers >= server.slots * kMaxLongAnswersPerSlot)
    return false;
  const Tokens tokens_ahead(request.urgent ? load.urgent_prefill_tokens
                                           : load.pending_prefill_tokens);
  const auto limit =
      std::chrono::duration_cast<Millis>(request.target_latency * max_targets);
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
