#ifndef GATEWAY_TRAFFIC_ROUTE_H_
#define GATEWAY_TRAFFIC_ROUTE_H_

#include <set>
#include <string>
#include <vector>

#include "base/base.h"

namespace bamboomount {

// Whether and how a request may be retried after a backend server fails.
enum class RequestKind {
  // May run any number of times.
  kIdempotent,
  // May run at most once for each attempt of the caller.
  kAtMostOnce,
  // An event stream that may be started at most once.
  kStream,
  // An event stream that another backend server may resume.
  kResumableStream,
};

inline bool IsStream(RequestKind kind) {
  return kind == RequestKind::kStream || kind == RequestKind::kResumableStream;
}

inline bool MayRepeat(RequestKind kind) {
  return kind == RequestKind::kIdempotent ||
         kind == RequestKind::kResumableStream;
}

// A pool and its weight among the pools of a route.
struct PoolShare {
  PoolId pool;
  double weight = 1;
};

// A routing rule of the configuration: which requests it matches, and how they
// are handled.
struct Route {
  std::string name;
  std::string host;
  // Path prefix; begins and ends with a slash.
  std::string prefix;
  RequestKind kind = RequestKind::kAtMostOnce;
  std::vector<PoolShare> shares;
  // Maximum time until the complete response is delivered to the caller.
  Millis timeout{30000};
  // Target for the time to the response or, for a stream, to its first event.
  Millis target_latency{1000};
  // Streams: target for the longest interval between two events.
  Millis target_event_interval{1000};
  Tier tier;
  // Maximum number of backend servers that one attempt of a caller may be sent
  // to.
  int attempts = 1;
  // Callers need no key.
  bool allow_anonymous = false;
  // Regions whose servers may run the requests; empty if all may.
  std::set<RegionId> allowed_regions;
  // Requests identify the shared prefixes of their prompts, so that they can be
  // routed to backend servers that have them cached.
  bool prefix_affinity = false;

  // Chooses a pool at random in proportion to the weights. `draw` is a uniform
  // random number in [0, 1). The route must have at least one share.
  const PoolId& ChoosePool(double draw) const;
};

}  // namespace bamboomount

#endif  // GATEWAY_TRAFFIC_ROUTE_H_
