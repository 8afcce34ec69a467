#ifndef POLICY_INTERNAL_BACKEND_TABLE_H_
#define POLICY_INTERNAL_BACKEND_TABLE_H_

#include <map>
#include <memory>
#include <vector>

#include "policy/backend_state.h"
#include "policy/load_report.h"
#include "policy/placement_candidates.h"

namespace bamboomount {

// The backend servers of a cell: slot counts, health and probes. Keeps the
// available ones (in service, healthy, with a free slot) in a dense list.
class BackendTable : public PlacementCandidates {
 public:
  void SetBackends(const std::vector<CellBackend>& backends, SteadyTime now);

  // Counts a granted or adopted request. An unknown backend server is kept
  // until its requests have finished.
  void AcquireSlot(const BackendId& backend);
  void ReleaseSlot(const BackendId& backend);

  void MarkLeaving(const BackendId& backend, SteadyTime now);
  // Makes it unavailable until a probe succeeds.
  void MarkUnhealthy(BackendState& state, BackendHealth health, SteadyTime now);
  void MarkHealthy(BackendState& state, SteadyTime now);
  void ObserveLoad(const BackendId& backend,
                   const LoadReport& report,
                   SteadyTime now);

  // Unhealthy backend servers that may get one probe request each.
  std::vector<BackendState*> DueProbes(SteadyTime now) const;
  // Schedules the next probe, after a longer delay.
  static void EndProbe(BackendState& state, SteadyTime now);

  BackendState* Find(const BackendId& backend);
  std::span<BackendState* const> available() const override {
    return available_;
  }
  BackendState* FindAvailable(const BackendId& backend) const override;
  // Neither leaving nor dropped, healthy or not.
  int in_service_count() const { return in_service_count_; }
  int unhealthy_count() const { return static_cast<int>(unhealthy_.size()); }
  bool AllExcluded(const std::vector<BackendId>& excluded) const;
  const std::map<BackendId, std::unique_ptr<BackendState>>& states() const {
    return states_;
  }

 private:
  BackendState& FindOrAdd(const BackendId& backend);
  void UpdateAvailability(BackendState& state);

  std::map<BackendId, std::unique_ptr<BackendState>> states_;
  std::vector<BackendState*> available_;
  std::vector<BackendState*> unhealthy_;
  int in_service_count_ = 0;
  std::uint64_t grant_count_ = 0;
};

}  // namespace bamboomount

#endif  // POLICY_INTERNAL_BACKEND_TABLE_H_
