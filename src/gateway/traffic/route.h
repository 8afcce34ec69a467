#ifndef GATEWAY_TRAFFIC_ROUTE_H_
#define GATEWAY_TRAFFIC_ROUTE_H_

#include <string>
#include <vector>

#include "base/base.h"

namespace bamboomount {

// What may be repeated when a backend server fails.
enum class RequestKind {
  // May run any number of times.
  kIdempotent,
  // May run at most once for each attempt of a caller.
  kAtMostOnce,
  // A series of events that may start at most once.
  kStream,
  // A series of events that another backend server may continue.
  kResumableStream,
};

inline bool IsStream(RequestKind kind) {
  return kind == RequestKind::kStream || kind == RequestKind::kResumableStream;
}

inline bool MayRepeat(RequestKind kind) {
  return kind == RequestKind::kIdempotent ||
         kind == RequestKind::kResumableStream;
}

// The part of a route's requests that goes to one pool.
struct PoolShare {
  PoolId pool;
  double weight = 1;
};

// One rule of the configuration: which requests go where, and how.
struct Route {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string prefix;
  RequestKind kind = RequestKind::kAtMostOnce;
  std::vector<PoolShare> shares;
  // The longest time that a caller is kept waiting for the whole answer.
  Millis timeout{30000};
  // Within this time an answer, or the first event of one, is on time.
  Millis target_latency{1000};
  // Streams: the longest pause between events of a stream that is on time.
  Millis target_event_interval{1000};
  Tier tier;
  // The most backend servers that one attempt of a caller may be sent to.
  int attempts = 1;
  // Callers need no key.
  bool allow_anonymous = false;
  // Requests name the shared parts of their prompts.
  bool prefix_affinity = false;

  // The pool for a request, chosen by weight. `draw` is uniform in [0, 1).
  // The route must have at least one share.
  const PoolId& ChoosePool(double draw) const;
};

}  // namespace bamboomount

#endif  // GATEWAY_TRAFFIC_ROUTE_H_
