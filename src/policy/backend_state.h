#ifndef POLICY_BACKEND_STATE_H_
#define POLICY_BACKEND_STATE_H_

#include <cstdint>
#include <optional>

#include "policy/cell_backend.h"

namespace bamboomount {

enum class BackendHealth { kHealthy, kFailed, kStraggler };

// What a cell knows of one backend server; placement strategies read it.
struct BackendState {
  CellBackend backend;
  // False if the configuration has dropped it while requests still run.
  bool configured = true;
  bool leaving = false;
  BackendHealth health = BackendHealth::kHealthy;
  // Requests that the cell has granted and that have not finished.
  int running = 0;
  // Position of its last grant among all grants of the cell.
  std::uint64_t last_grant = 0;

  // Requests on it that the cell did not grant, smoothed over load reports.
  double external_load = 0;
  // Observed over predicted time to first token, smoothed.
  double first_token_ratio = 1;
  // Output tokens a second of one request, smoothed over observed progress.
  double tokens_per_second = 0;
  int progress_samples = 0;

  // Failures of requests that were granted earlier describe the past.
  SteadyTime healthy_since;
  // While unhealthy: when the next probe request may be granted.
  SteadyTime next_probe_time;
  Millis probe_delay{0};
  std::optional<RequestId> probe_request;

  // Position among the available backend servers; -1 if not available.
  int available_index = -1;

  bool in_service() const { return configured && !leaving; }
  bool full() const { return running >= backend.slots; }
};

}  // namespace bamboomount

#endif  // POLICY_BACKEND_STATE_H_
