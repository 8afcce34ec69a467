#ifndef ENGINE_ENGINE_OPTIONS_H_
#define ENGINE_ENGINE_OPTIONS_H_

#include <cstdint>
#include <string>

namespace standin {

// Settings of the engine; each is a command line flag of standin_engine.
struct EngineOptions {
  // "ip:port"; port 0 lets the kernel choose one.
  std::string listen = "127.0.0.1:0";
  std::string model = "stand-in";
  // Maximum number of requests that run concurrently; further requests wait.
  int slots = 32;
  // Maximum number of waiting requests; further requests are refused with 503.
  int queue_limit = 1024;
  // Number of running requests above which the token rate of each stream falls
  // in proportion.
  int batch = 32;
  // Token rate of one stream while no more than `batch` requests run.
  double tokens_per_second = 50;
  // Time to first token of a prompt that is completely in the prefix cache, in
  // microseconds.
  std::int64_t first_token_us = 20000;
  // Additional time to first token per prompt word that is not cached, in
  // microseconds.
  std::int64_t prompt_word_us = 100;
  // Capacity of the prefix cache in blocks of 16 prompt words.
  int cache_blocks = 256;
  // Number of tokens generated for a request without max_tokens.
  std::int64_t default_tokens = 64;
  // Maximum age of the values that /load reports, in milliseconds.
  std::int64_t load_lag_ms = 500;
  // Delay until an event appears in /cache-events, in milliseconds.
  std::int64_t event_lag_ms = 500;
  // Every event_gap-th cache event is lost; 0 loses none.
  int event_gap = 20;
  // Version of the engine's software, stated in X-Engine-Version; empty states
  // none.
  std::string version = "v1";
  // Whether a request for another version is run all the same.
  bool ignore_expected_version = false;
  // Whether orders with a stale fencing token are refused.
  bool check_fencing = false;
};

}  // namespace standin

#endif  // ENGINE_ENGINE_OPTIONS_H_
