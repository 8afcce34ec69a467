#ifndef TESTS_SOAK_CHECKS_OBSERVATIONS_H_
#define TESTS_SOAK_CHECKS_OBSERVATIONS_H_

#include <chrono>
#include <string>
#include <vector>

#include "entry_fixture/backend_standin.h"
#include "entry_fixture/store_standin.h"

namespace bamboomount::soak {

using Time = std::chrono::steady_clock::time_point;
using Millis = std::chrono::milliseconds;

// How a request may be executed and retried.
enum class RequestKind {
  // May be retried on another backend server.
  kIdempotent,
  // Must run at most once.
  kAtMostOnce,
  // A stream whose request must run at most once.
  kAtMostOnceStream,
  // A stream that may be resumed on another backend server.
  kResumableStream,
  // An idempotent request to a route that exists in one version of the
  // configuration only.
  kVersionProbe,
};

// Returns whether a request of this kind must run at most once.
constexpr bool RunsAtMostOnce(RequestKind kind) {
  return kind == RequestKind::kAtMostOnce ||
         kind == RequestKind::kAtMostOnceStream;
}

// One request as its caller observed it.
struct RequestRecord {
  std::string id;
  RequestKind kind = RequestKind::kIdempotent;
  std::string key;
  std::string customer;
  // For version probes: the version of the configuration that has the route.
  int version = 0;
  // The process that the request was sent to, as INSTANCE#START: the name of
  // the instance and how many times it had been started.
  std::string process;
  Time sent;
  Time ended;
  // The caller closed its connection without reading the reply.
  bool abandoned = false;
  // HTTP status; 0 if no reply head arrived.
  int status = 0;
  // Whether the reply ended as its HTTP framing requires.
  bool complete = false;
  // Value of the X-Bamboomount-Response-Seal header.
  std::string seal;
  std::string body;
  // For streams: the event ids in order of arrival, 0 for an event without id.
  std::vector<int> events;
};

// One request as a backend server received it.
struct BackendArrival {
  std::string backend;
  std::string request_id;
  std::string customer;
  // The caller's API key was forwarded.
  bool has_key = false;
  // False if the backend server refused the request.
  bool ran = false;
  Time at;
};

// A key that was replaced. The store accepted the change by `at`.
struct KeyWithdrawal {
  std::string key;
  Time at;
};

// A backend server that was listed as draining or removed from the list. The
// store accepted the change by `at`.
struct BackendRetirement {
  std::string backend;
  Time at;
};

// An unplanned fault that was active, or whose direct effect lasted, from
// `from` to `until`.
struct FaultSpan {
  std::string name;
  Time from;
  Time until;
};

// A graceful shutdown, requested by SIGTERM at `at`.
struct GracefulShutdown {
  std::string process;
  Time at;
  Time ended;
  // The process had to be killed or exited with an error.
  bool failed = false;
};

// Everything that callers, backend servers, the store and the fault injector
// observed in one soak.
struct Observations {
  std::vector<RequestRecord> requests;
  // In order of time.
  std::vector<BackendArrival> arrivals;
  std::vector<KeyWithdrawal> withdrawals;
  std::vector<BackendRetirement> retirements;
  // Reports that were accepted, in order.
  std::vector<entry_test::UsageReport> usage;
  std::vector<FaultSpan> faults;
  std::vector<GracefulShutdown> shutdowns;
};

}  // namespace bamboomount::soak

#endif  // TESTS_SOAK_CHECKS_OBSERVATIONS_H_
