#include "load_experiment.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace bamboomount {
namespace {

constexpr double kBurstFactor = 10;
// Callers give up when the first token takes this many times its target.
constexpr double kAbandonTargetFactor = 4;
constexpr int kPrefixesPerClass = 60;
constexpr double kParetoShape = 1.3;
constexpr double kMaxOutputTokens = 8192;
constexpr int kUnlimitedSlots = 1 << 20;
constexpr std::chrono::duration<double> kDecisionInterval{0.1};
constexpr std::chrono::duration<double> kLoadPollInterval{0.5};
constexpr std::chrono::duration<double> kProgressInterval{1};
constexpr std::chrono::duration<double> kNetworkDelay{0.001};

double SecondsBetween(SteadyTime from, SteadyTime to) {
  return std::chrono::duration<double>(to - from).count();
}

Millis MillisBetween(SteadyTime from, SteadyTime to) {
  return std::chrono::duration_cast<Millis>(to - from);
}

}  // namespace

LoadExperiment::LoadExperiment(const Deployment& deployment,
                               const Scenario& scenario,
                               const Strategy& strategy,
                               std::uint64_t seed)
    : deployment_(deployment),
      scenario_(scenario),
      start_(events_.now()),
      cell_(strategy.options),
      arrivals_(seed),
      faults_(seed + 1) {
  std::vector<CellBackend> backends = deployment.engines;
  for (CellBackend& backend : backends) {
    EngineModel engine;
    engine.backend = backend;
    engines_.push_back(engine);
    if (!strategy.waits_in_cell)
      backend.slots = kUnlimitedSlots;
    report_.cost_per_hour += backend.cheap ? deployment.cheap_cost_per_hour
                                           : deployment.firm_cost_per_hour;
  }
  engines_.front().speed = scenario.first_engine_speed;
  cell_.SetBackends(backends, events_.now());
  report_.by_class.resize(deployment.classes.size());
  report_.seconds = scenario.seconds;
  if (scenario.flood_factor > 1)
    report_.flooding_customer = static_cast<int>(deployment.shares.size()) - 1;
}

Report LoadExperiment::Run() {
  for (std::size_t i = 0; i < deployment_.classes.size(); ++i)
    ScheduleArrival(static_cast<int>(i));
  ScheduleFaults();
  Tick();
  PollLoad();
  const auto end =
      start_ + std::chrono::duration_cast<SteadyTime::duration>(
                   std::chrono::duration<double>(scenario_.seconds));
  events_.RunUntil(end);
  // Requests that still wait or run count until they end.
  events_.RunUntil(end + std::chrono::minutes(10));
  return report_;
}

double LoadExperiment::Seconds() const {
  return SecondsBetween(start_, events_.now());
}

double LoadExperiment::RateFactor(int class_index) const {
  double factor = scenario_.load_factor;
  if (scenario_.diurnal) {
    factor *= 1 - 0.5 * std::cos(2 * std::numbers::pi * Seconds() /
                                 scenario_.seconds);
  }
  const bool bursts =
      Seconds() >= scenario_.burst_start && Seconds() < scenario_.burst_end;
  if (class_index == 0 && bursts)
    factor *= kBurstFactor;
  double sent = 0;
  double shares = 0;
  for (const double share : deployment_.shares) {
    shares += share;
    sent += share;
  }
  sent += deployment_.shares.back() * (scenario_.flood_factor - 1);
  return factor * sent / shares;
}

void LoadExperiment::ScheduleArrival(int class_index) {
  // Thinning: candidates at the highest rate keep the arrivals independent of
  // when the rate was looked up.
  const double highest =
      deployment_.classes[class_index].requests_per_second * kBurstFactor * 4;
  const double gap = std::exponential_distribution<double>(highest)(arrivals_);
  events_.After(std::chrono::duration<double>(gap), [this, class_index] {
    if (Seconds() >= scenario_.seconds)
      return;
    const double accepted = RateFactor(class_index) / (kBurstFactor * 4);
    if (std::uniform_real_distribution<>(0, 1)(arrivals_) < accepted)
      Arrive(class_index);
    ScheduleArrival(class_index);
  });
}

LoadExperiment::JobPtr LoadExperiment::MakeJob(int class_index) {
  const ClassLoad& load = deployment_.classes[class_index];
  std::vector<double> weights = deployment_.shares;
  weights.back() *= scenario_.flood_factor;
  auto job = std::make_shared<Job>();
  job->class_index = class_index;
  job->customer = std::discrete_distribution<int>(weights.begin(),
                                                  weights.end())(arrivals_);
  job->arrival = events_.now();
  const auto exponential = [&](double mean) {
    return 1 + std::exponential_distribution<double>(1 / mean)(arrivals_);
  };
  job->output = exponential(load.mean_output_tokens);
  if (scenario_.heavy_tailed) {
    const double uniform = std::uniform_real_distribution<>(1e-9, 1)(arrivals_);
    const double smallest =
        load.mean_output_tokens * (kParetoShape - 1) / kParetoShape;
    job->output = smallest * std::pow(uniform, -1 / kParetoShape);
  }
  job->output = std::min(job->output, kMaxOutputTokens);
  job->in_burst =
      Seconds() >= scenario_.burst_start && Seconds() < scenario_.burst_end;
  SlotRequest& request = job->request;
  request.request = RequestId(std::to_string(next_request_++));
  request.class_id = ClassId(load.name);
  request.tier = Tier(load.tier);
  request.customer = CustomerId("c" + std::to_string(job->customer));
  request.share = deployment_.shares[job->customer];
  request.queue_limit = load.queue_limit;
  request.first_token_target = load.first_token_target;
  request.prompt_tokens =
      Tokens(static_cast<std::int64_t>(exponential(load.mean_prompt_tokens)));
  const auto prefix =
      std::uniform_int_distribution<int>(1, kPrefixesPerClass)(arrivals_);
  request.prefix_hash = class_index * kPrefixesPerClass + prefix;
  request.entry_zone =
      deployment_.engines[next_request_ % deployment_.engines.size()].zone;
  return job;
}

void LoadExperiment::Arrive(int class_index) {
  const JobPtr job = MakeJob(class_index);
  jobs_.emplace(job->request.request, job);
  retries_.AddRequest();
  events_.After(job->request.first_token_target * kAbandonTargetFactor,
                [this, job] {
                  if (!job->done && !job->has_first_token)
                    Abandon(job);
                });
  cell_.Enqueue(job->request, events_.now());
  Decide();
}

void LoadExperiment::ScheduleFaults() {
  if (scenario_.zone_loss_end <= scenario_.zone_loss_start)
    return;
  events_.After(std::chrono::duration<double>(scenario_.zone_loss_start),
                [this] { SetCheapZoneAlive(false); });
  events_.After(std::chrono::duration<double>(scenario_.zone_loss_end),
                [this] { SetCheapZoneAlive(true); });
}

void LoadExperiment::SetCheapZoneAlive(bool alive) {
  const ZoneId lost = deployment_.engines.back().zone;
  for (std::size_t i = 0; i < engines_.size(); ++i) {
    if (!engines_[i].backend.cheap || engines_[i].backend.zone != lost)
      continue;
    engines_[i].alive = alive;
    if (alive)
      continue;
    std::vector<JobPtr> interrupted;
    for (const auto& [id, job] : jobs_) {
      if (job->engine == static_cast<int>(i))
        interrupted.push_back(job);
    }
    // The order of a hash map would differ between runs.
    std::sort(interrupted.begin(), interrupted.end(),
              [](const JobPtr& a, const JobPtr& b) {
                return a->arrival < b->arrival;
              });
    for (const JobPtr& job : interrupted)
      Fail(job, SlotEnd::kBackendFailed);
  }
}

void LoadExperiment::Tick() {
  Decide();
  events_.After(kDecisionInterval, [this] { Tick(); });
}

void LoadExperiment::PollLoad() {
  for (EngineModel& engine : engines_) {
    if (scenario_.external_load) {
      engine.external = std::clamp(
          engine.external + std::uniform_int_distribution<int>(-1, 1)(faults_),
          0, engine.backend.slots);
    }
    if (!engine.alive)
      continue;
    LoadReport report;
    report.running = engine.running + engine.external;
    report.waiting = static_cast<int>(engine.queue.size());
    report.age = Millis(static_cast<int>(scenario_.report_delay * 1000));
    events_.After(std::chrono::duration<double>(scenario_.report_delay),
                  [this, report, id = engine.backend.backend] {
                    cell_.ObserveLoad(id, report, events_.now());
                  });
  }
  events_.After(kLoadPollInterval, [this] { PollLoad(); });
}

void LoadExperiment::Decide() {
  for (const SlotDecision& decision : cell_.Decide(events_.now())) {
    const JobPtr job = jobs_.at(decision.request);
    if (decision.backend) {
      Send(job, *decision.backend);
      continue;
    }
    ++report_.refused;
    RecordResult(job, false);
  }
}

void LoadExperiment::Send(const JobPtr& job, const BackendId& backend) {
  for (std::size_t i = 0; i < engines_.size(); ++i) {
    if (engines_[i].backend.backend == backend)
      job->engine = static_cast<int>(i);
  }
  job->granted = events_.now();
  const int current = ++job->attempt;
  events_.After(kNetworkDelay, [this, job, current] {
    if (job->done || job->attempt != current || job->engine < 0)
      return;
    EngineModel& engine = engines_[job->engine];
    if (!engine.alive)
      Fail(job, SlotEnd::kConnectFailed);
    else if (engine.running < engine.backend.slots)
      Start(job);
    else
      engine.queue.push_back(job);
  });
}

void LoadExperiment::Start(const JobPtr& job) {
  EngineModel& engine = engines_[job->engine];
  ++engine.running;
  job->has_started = true;
  job->started = events_.now();
  const int current = job->attempt;
  events_.After(std::chrono::duration<double>(engine.SecondsToFirstToken(*job)),
                [this, job, current] {
                  if (!job->done && job->attempt == current && job->engine >= 0)
                    DeliverFirstToken(job);
                });
}

void LoadExperiment::DeliverFirstToken(const JobPtr& job) {
  job->first_token = events_.now();
  if (!job->has_first_token) {
    job->has_first_token = true;
    job->first_token_in_time =
        events_.now() - job->arrival <= job->request.first_token_target;
  }
  const int current = job->attempt;
  const double seconds = engines_[job->engine].SecondsToGenerate(*job);
  events_.After(std::chrono::duration<double>(seconds), [this, job, current] {
    if (!job->done && job->attempt == current && job->engine >= 0)
      Complete(job);
  });
  ReportProgress(job);
}

void LoadExperiment::ReportProgress(const JobPtr& job) {
  const double rate =
      job->output / engines_[job->engine].SecondsToGenerate(*job);
  const double produced =
      1 + rate * SecondsBetween(job->first_token, events_.now());
  cell_.ObserveProgress(job->request.request,
                        Tokens(static_cast<std::int64_t>(produced)),
                        events_.now());
  const int current = job->attempt;
  events_.After(kProgressInterval, [this, job, current] {
    if (!job->done && job->attempt == current && job->engine >= 0)
      ReportProgress(job);
  });
}

void LoadExperiment::Complete(const JobPtr& job) {
  if (job->first_token_in_time)
    report_.good_tokens += job->output;
  EndAttempt(job, SlotEnd::kCompleted);
  RecordResult(job, job->first_token_in_time);
  Decide();
}

void LoadExperiment::Fail(const JobPtr& job, SlotEnd end) {
  const BackendId failed = engines_[job->engine].backend.backend;
  EndAttempt(job, end);
  if (!retries_.TrySpend()) {
    RecordResult(job, false);
    return;
  }
  job->request.excluded.push_back(failed);
  const double random = std::uniform_real_distribution<>(0, 1)(faults_);
  const int retry = static_cast<int>(job->request.excluded.size());
  events_.After(RetryBudget::Backoff(retry, random), [this, job] {
    if (job->done)
      return;
    cell_.Enqueue(job->request, events_.now());
    Decide();
  });
}

void LoadExperiment::Abandon(const JobPtr& job) {
  cell_.Cancel(job->request.request, events_.now());
  if (job->engine >= 0)
    EndAttempt(job, SlotEnd::kCancelled);
  RecordResult(job, false);
  Decide();
}

void LoadExperiment::EndAttempt(const JobPtr& job, SlotEnd end) {
  EngineModel& engine = engines_[job->engine];
  SlotOutcome outcome;
  outcome.end = end;
  if (job->has_started) {
    --engine.running;
    const double held = SecondsBetween(job->started, events_.now());
    report_.busy_seconds += held;
    report_.cheap_seconds += engine.backend.cheap ? held : 0;
    report_.wasted_seconds += end == SlotEnd::kCompleted ? 0 : held;
  } else {
    std::erase(engine.queue, job);
  }
  if (job->has_started && job->first_token >= job->started) {
    outcome.time_to_first_token = MillisBetween(job->granted, job->first_token);
    outcome.generation_time = MillisBetween(job->first_token, events_.now());
    const double part = SecondsBetween(job->first_token, events_.now()) /
                        std::max(1e-9, engine.SecondsToGenerate(*job));
    outcome.output_tokens = Tokens(static_cast<std::int64_t>(
        end == SlotEnd::kCompleted ? job->output
                                   : std::min(1.0, part) * job->output));
  }
  job->has_started = false;
  job->engine = -1;
  cell_.Finish(job->request.request, outcome, events_.now());
  if (engine.alive && !engine.queue.empty() &&
      engine.running < engine.backend.slots) {
    const JobPtr next = engine.queue.front();
    engine.queue.pop_front();
    Start(next);
  }
}

void LoadExperiment::RecordResult(const JobPtr& job, bool attained) {
  job->done = true;
  jobs_.erase(job->request.request);
  const auto count = [&](Report::Tally& tally) {
    ++tally.requests;
    tally.attained += attained ? 1 : 0;
  };
  count(report_.by_class[job->class_index]);
  count(report_.by_customer_and_class[{job->customer, job->class_index}]);
  if (job->in_burst && job->request.tier == Tier(0))
    count(report_.burst);
  if (job->in_burst && job->request.tier == Tier(2))
    count(report_.tier2_in_burst);
}

}  // namespace bamboomount
