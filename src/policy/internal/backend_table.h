#ifndef POLICY_INTERNAL_BACKEND_TABLE_H_
#define POLICY_INTERNAL_BACKEND_TABLE_H_

#include <map>
#include <memory>
#include <vector>

#include "policy/backend_state.h"
#include "policy/load_report.h"
#include "policy/placement_candidates.h"

namespace bamboomount {

// Slot counts, health and probes of the backend servers of a cell. Keeps the
// available ones (in service, healthy, with a free slot) in a dense list. Not
// thread-safe.
class BackendTable : public PlacementCandidates {
 public:
  // Replaces the configured backend servers. One that is removed stays in the
  // table until its requests have finished.
  void SetBackends(const std::vector<CellBackend>& backends, SteadyTime now);

  // Takes a slot for a granted or adopted request. Adds an unknown backend
  // server to the table until its requests have finished.
  void AcquireSlot(const BackendId& backend);
  // Returns the slot of a finished request.
  void ReleaseSlot(const BackendId& backend);

  // Stops grants and probes. Does nothing for an unknown backend server.
  void MarkLeaving(const BackendId& backend, SteadyTime now);
  // Makes it unavailable until MarkHealthy, and schedules the first probe if it
  // was healthy. Does nothing unless it is in service.
  void MarkUnhealthy(BackendState& state, BackendHealth health, SteadyTime now);
  void MarkHealthy(BackendState& state, SteadyTime now);
  void ObserveLoad(const BackendId& backend,
                   const LoadReport& report,
                   SteadyTime now);

  // Returns the unhealthy backend servers that may get one probe each at `now`.
  std::vector<BackendState*> DueProbes(SteadyTime now) const;
  // Records the end of a probe and schedules the next one after twice the
  // delay, up to a maximum.
  static void EndProbe(BackendState& state, SteadyTime now);

  // Returns nullptr for an unknown backend server.
  BackendState* Find(const BackendId& backend);
  std::span<BackendState* const> available() const override {
    return available_;
  }
  BackendState* FindAvailable(const BackendId& backend) const override;
  // Backend servers that are neither leaving nor removed, healthy or not.
  int in_service_count() const { return in_service_count_; }
  int unhealthy_count() const { return static_cast<int>(unhealthy_.size()); }
  // Whether `excluded` contains every backend server in service.
  bool AllExcluded(const std::vector<BackendId>& excluded) const;
  const std::map<BackendId, std::unique_ptr<BackendState>>& states() const {
    return states_;
  }

 private:
  BackendState& FindOrAdd(const BackendId& backend);
  // Adds it to the list of available backend servers or removes it, as its
  // state requires.
  void UpdateAvailability(BackendState& state);

  std::map<BackendId, std::unique_ptr<BackendState>> states_;
  std::vector<BackendState*> available_;
  std::vector<BackendState*> unhealthy_;
  int in_service_count_ = 0;
  std::uint64_t grant_count_ = 0;
};

}  // namespace bamboomount

#endif  // POLICY_INTERNAL_BACKEND_TABLE_H_
