#ifndef POLICY_EXPERIMENTS_ENGINE_MODEL_H_
#define POLICY_EXPERIMENTS_ENGINE_MODEL_H_

#include <cstdint>
#include <deque>
#include <memory>

#include "policy/policy.h"

namespace bamboomount {

// A request of a caller with its state over all attempts.
struct Job {
  SlotRequest request;
  int class_index = 0;
  int customer = 0;
  SteadyTime arrival;
  // Output tokens.
  double output = 0;
  bool in_burst = false;
  // The current attempt; `engine` is -1 while there is none.
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

// Timing model of one engine: prefill and generation slow down with the number
// of running requests.
struct EngineModel {
  CellBackend backend;
  // Relative to a normal engine.
  double speed = 1;
  bool alive = true;
  int running = 0;
  // Running requests that the cell did not grant.
  int external = 0;
  // Requests that wait for a slot of the engine, first come, first served.
  std::deque<std::shared_ptr<Job>> queue;
  // Oldest first.
  std::deque<std::uint64_t> cached_prefixes;

  // Running requests per slot.
  double load() const;
  // Prefill time in seconds. Also adds the prefix to the cached ones.
  double SecondsToFirstToken(const Job& job);
  double SecondsToGenerate(const Job& job) const;
};

}  // namespace bamboomount

#endif  // POLICY_EXPERIMENTS_ENGINE_MODEL_H_
