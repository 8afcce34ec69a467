#ifndef POLICY_BACKEND_STATE_H_
#define POLICY_BACKEND_STATE_H_

#include <cstdint>
#include <optional>

#include "policy/cell_backend.h"

namespace bamboomount {

// Health as observed by the cell. Only healthy backend servers get regular
// grants; the others get single probe requests.
enum class BackendHealth { kHealthy, kFailed, kStraggler };

// State of one backend server within a cell; input of placement strategies.
struct BackendState {
  CellBackend backend;
  // False once it has been removed from the configuration while requests still
  // run on it.
  bool configured = true;
  // It is shutting down and gets no new grants.
  bool leaving = false;
  BackendHealth health = BackendHealth::kHealthy;
  // Unfinished requests that hold a slot of the cell, including adopted ones.
  int running = 0;
  // Sequence number of its last grant among all grants of the cell.
  std::uint64_t last_grant = 0;

  // Requests on it that hold no slot of the cell; moving average over load
  // reports.
  double external_load = 0;
  // Moving average of observed over predicted time to first token.
  double first_token_ratio = 1;
  // Output tokens per second of a single request; moving average over observed
  // progress.
  double tokens_per_second = 0;
  int progress_samples = 0;

  // Time of the last recovery. Failures of requests granted before it are
  // ignored, because they say nothing about the present state.
  SteadyTime healthy_since;
  // While unhealthy: earliest time at which the next probe may be granted.
  SteadyTime next_probe_time;
  // Current back-off between probes.
  Millis probe_delay{0};
  // The running probe, if any.
  std::optional<RequestId> probe_request;

  // Index in the list of available backend servers; -1 if not available.
  int available_index = -1;

  bool in_service() const { return configured && !leaving; }
  bool full() const { return running >= backend.slots; }
};

}  // namespace bamboomount

#endif  // POLICY_BACKEND_STATE_H_
