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

enum class RequestKind {
  // May be repeated.
  kIdempotent,
  // Runs once at most.
  kAtMostOnce,
  // A stream that runs once at most.
  kAtMostOnceStream,
  // A stream that may go on at another backend server.
  kResumableStream,
  // A lookup on a route that only one version of the configuration has.
  kVersionProbe,
};

// Requests of the kind may run at most once.
constexpr bool RunsAtMostOnce(RequestKind kind) {
  return kind == RequestKind::kAtMostOnce ||
         kind == RequestKind::kAtMostOnceStream;
}

// What a caller saw of one request.
struct RequestRecord {
  std::string id;
  RequestKind kind = RequestKind::kIdempotent;
  std::string key;
  std::string customer;
  // Version of the configuration that has the route, for version probes.
  int version = 0;
  // The process that was asked: instance and number of its start.
  std::string process;
  Time sent;
  Time ended;
  // The caller closed its connection before the answer.
  bool abandoned = false;
  // 0 if no answer head arrived.
  int status = 0;
  // Whether the answer ended as HTTP requires.
  bool complete = false;
  std::string seal;
  std::string body;
  // Numbers of the events, for streams.
  std::vector<int> events;
};

// A request as a backend server saw it.
struct BackendArrival {
  std::string backend;
  std::string request_id;
  std::string customer;
  // The caller's key was passed on.
  bool has_key = false;
  bool ran = false;
  Time at;
};

// The store accepted a change at `at`.
struct KeyWithdrawal {
  std::string key;
  Time at;
};
struct BackendRetirement {
  std::string backend;
  Time at;
};

// A fault that is not planned work, or its effect, lasted from `from` to
// `until`.
struct FaultSpan {
  std::string name;
  Time from;
  Time until;
};

// A process was asked to stop.
struct GracefulShutdown {
  std::string process;
  Time at;
  Time ended;
  // It had to be killed, or ended with an error.
  bool failed = false;
};

// All that callers, backend servers and the platform saw in one soak.
struct Observations {
  std::vector<RequestRecord> requests;
  std::vector<BackendArrival> arrivals;
  std::vector<KeyWithdrawal> withdrawals;
  std::vector<BackendRetirement> retirements;
  std::vector<entry_test::UsageReport> usage;
  std::vector<FaultSpan> faults;
  std::vector<GracefulShutdown> shutdowns;
};

}  // namespace bamboomount::soak

#endif  // TESTS_SOAK_CHECKS_OBSERVATIONS_H_
