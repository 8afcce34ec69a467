#ifndef LOAD_LOAD_OPTIONS_H_
#define LOAD_LOAD_OPTIONS_H_

#include <string>
#include <vector>

namespace bamboomount {

// Streamed chat completions, or requests with a short response.
enum class LoadKind { kStreams, kShortCalls };

// Settings of the load tool.
struct LoadOptions {
  // "ip:port" of the backend server and of the router in front of it. Either
  // may be empty, which skips its measurement.
  std::string direct;
  std::string router;
  LoadKind kind = LoadKind::kStreams;
  // Path of the requests of kind kShortCalls.
  std::string path = "/v1/lookup";
  std::string model = "stand-in";
  // Caller's key for the router; not sent in direct requests.
  std::string key;
  // Concurrency levels to measure: numbers of concurrent streams or callers.
  std::vector<int> levels = {1, 32, 256};
  // Requests per stream or caller in one round.
  int requests = 4;
  // Rounds per level. Direct and routed rounds alternate, so that a change of
  // the machine's load affects both.
  int rounds = 2;
  // Tokens per stream.
  int tokens = 50;
  // Process id of the router, whose resident memory is measured; 0 for none.
  int router_pid = 0;
  bool json = false;
};

}  // namespace bamboomount

#endif  // LOAD_LOAD_OPTIONS_H_
