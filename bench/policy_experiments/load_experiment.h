#ifndef POLICY_EXPERIMENTS_LOAD_EXPERIMENT_H_
#define POLICY_EXPERIMENTS_LOAD_EXPERIMENT_H_

#include <memory>
#include <random>
#include <unordered_map>
#include <vector>

#include "deployment.h"
#include "engine_model.h"
#include "event_queue.h"
#include "report.h"
#include "scenario.h"
#include "strategy.h"

namespace bamboomount {

// Drives one cell scheduler with a load. Arrivals depend on the seed only, so
// that all strategies get the same requests.
class LoadExperiment {
 public:
  LoadExperiment(const Deployment& deployment,
                 const Scenario& scenario,
                 const Strategy& strategy,
                 std::uint64_t seed);
  Report Run();

 private:
  using JobPtr = std::shared_ptr<Job>;

  double Seconds() const;
  double RateFactor(int class_index) const;
  void ScheduleArrival(int class_index);
  void Arrive(int class_index);
  JobPtr MakeJob(int class_index);
  void ScheduleFaults();
  void SetCheapZoneAlive(bool alive);
  void Tick();
  void PollLoad();
  void Decide();
  void Send(const JobPtr& job, const BackendId& backend);
  void Start(const JobPtr& job);
  void DeliverFirstToken(const JobPtr& job);
  void ReportProgress(const JobPtr& job);
  void Complete(const JobPtr& job);
  void Fail(const JobPtr& job, SlotEnd end);
  void Abandon(const JobPtr& job);
  void EndAttempt(const JobPtr& job, SlotEnd end);
  void RecordResult(const JobPtr& job, bool attained);

  const Deployment& deployment_;
  const Scenario& scenario_;
  EventQueue events_;
  SteadyTime start_;
  CellScheduler cell_;
  RetryBudget retries_;
  std::vector<EngineModel> engines_;
  std::unordered_map<RequestId, JobPtr> jobs_;
  std::mt19937_64 arrivals_;
  std::mt19937_64 faults_;
  Report report_;
  int next_request_ = 0;
};

}  // namespace bamboomount

#endif  // POLICY_EXPERIMENTS_LOAD_EXPERIMENT_H_
