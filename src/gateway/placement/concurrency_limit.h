#ifndef GATEWAY_PLACEMENT_CONCURRENCY_LIMIT_H_
#define GATEWAY_PLACEMENT_CONCURRENCY_LIMIT_H_

#include <limits>
#include <map>

#include "gateway/boot_clock.h"

namespace bamboomount {

// How long an engine took to begin an answer.
struct FirstTokenSample {
  // Priority of the request; 0 is the highest.
  Tier priority;
  // Whether the request ranks above the lowest urgency level.
  bool urgent = false;
  Instant sent_at;
  Millis latency{0};
  // Target for the time to the first token.
  Millis target_latency{0};
  // Whether the engine had many requests. A late answer of another engine is
  // its own fault and no sign that the pool is overloaded.
  bool engine_is_busy = false;
};

// Adaptive limit on the requests that this instance has at the engines of one
// pool, with additive increase and multiplicative decrease: answers that begin
// late lower it, answers that begin in time raise it while it is in use. It
// needs no figures from other instances, whose reports of a burst arrive late
// and let all instances start and stop at the same time.
//
// Priorities are strict. A request is limited by requests of its own or of
// higher priority only. Late answers of urgent requests first take room from
// requests of lower priority; their own room shrinks only when they are so late
// that their callers may leave. Late answers never take room from requests of
// higher priority. Not thread-safe.
class ConcurrencyLimit {
 public:
  // An answer is late if it begins after this fraction of its target latency.
  static constexpr double kLateFraction = 0.7;
  // An urgent answer is much too late after this multiple of its target.
  static constexpr double kMuchTooLateTargets = 3;

  // Whether another request of the priority may be sent. `urgent`: it ranks
  // above the lowest urgency level.
  bool HasRoom(Tier priority, bool urgent) const;
  void Add(Tier priority) { ++in_flight_[priority]; }
  void Remove(Tier priority) { --in_flight_[priority]; }
  void Record(const FirstTokenSample& sample, Instant now);

  // Infinite until an answer is late.
  double limit() const { return limit_; }

 private:
  int InFlight() const;
  // Requests of `priority` or of higher priority.
  int InFlightUpTo(Tier priority) const;
  // Lowers the limit, but leaves requests up to priority `kept` their room.
  void Decrease(Tier kept, Instant now);

  std::map<Tier, int> in_flight_;
  double limit_ = std::numeric_limits<double>::infinity();
  Instant decreased_at_;
};

}  // namespace bamboomount

#endif  // GATEWAY_PLACEMENT_CONCURRENCY_LIMIT_H_
