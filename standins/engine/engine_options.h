#ifndef ENGINE_ENGINE_OPTIONS_H_
#define ENGINE_ENGINE_OPTIONS_H_

#include <cstdint>
#include <string>

namespace standin {

struct EngineOptions {
  std::string listen = "127.0.0.1:0";
  std::string model = "stand-in";
  // Requests that run at the same time; more wait.
  int slots = 32;
  // Requests that may wait; more are refused.
  int queue_limit = 1024;
  // Running requests beyond which the tokens_per_second of each falls.
  int batch = 32;
  // Tokens per second of one stream while the batch is not full.
  double tokens_per_second = 50;
  // Time to first token of a prompt that is wholly in the prefix cache.
  std::int64_t first_token_us = 20000;
  // Added time to first token for each prompt word that is not cached.
  std::int64_t prompt_word_us = 100;
  // Blocks of prompt words that the prefix cache holds.
  int cache_blocks = 256;
  // Tokens of an answer whose request has no max_tokens.
  std::int64_t default_tokens = 64;
  // Age that /load figures may reach.
  std::int64_t load_lag_ms = 500;
  // Delay of /cache-events.
  std::int64_t event_lag_ms = 500;
  // Every so many cache events one is left out; 0 for none.
  int event_gap = 20;
  // Whether orders with an old fencing token are refused.
  bool check_fencing = false;
};

}  // namespace standin

#endif  // ENGINE_ENGINE_OPTIONS_H_
