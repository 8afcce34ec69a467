#ifndef POLICY_EXPERIMENTS_ENGINE_MODEL_H_
#define POLICY_EXPERIMENTS_ENGINE_MODEL_H_

#include <cstdint>
#include <deque>
#include <memory>

#include "policy/policy.h"

namespace bamboomount {

// A request of a caller.
struct Job {
  SlotRequest request;
  int class_index = 0;
  int customer = 0;
  SteadyTime arrival;
  double output = 0;
  bool in_burst = false;
  // The current try.
  int engine = -1;
  int attempt = 0;
  SteadyTime granted;
  SteadyTime started;
  SteadyTime first_token;
  bool has_started = false;
  bool has_first_token = false;
  bool first_token_in_time = false;
  bool done = false;
};

// Times of one engine: prompt processing and generation slow down with the
// number of requests that run.
struct EngineModel {
  CellBackend backend;
  double speed = 1;
  bool alive = true;
  int running = 0;
  int external = 0;
  // Requests beyond its slots, first come first served.
  std::deque<std::shared_ptr<Job>> queue;
  std::deque<std::uint64_t> cached_prefixes;

  double load() const;
  // Seconds; also remembers the prefix.
  double SecondsToFirstToken(const Job& job);
  double SecondsToGenerate(const Job& job) const;
};

}  // namespace bamboomount

#endif  // POLICY_EXPERIMENTS_ENGINE_MODEL_H_
