#ifndef LOAD_LOAD_OPTIONS_H_
#define LOAD_LOAD_OPTIONS_H_

#include <string>
#include <vector>

namespace bamboomount {

enum class LoadKind { kStreams, kShortCalls };

struct LoadOptions {
  // "ip:port" of the backend server and of the router before it; one may be
  // empty.
  std::string direct;
  std::string router;
  LoadKind kind = LoadKind::kStreams;
  // Path of short calls.
  std::string path = "/v1/lookup";
  std::string model = "stand-in";
  // Caller's key for the router; not sent to the backend server.
  std::string key;
  // Numbers of concurrent streams or callers to measure at.
  std::vector<int> levels = {1, 32, 256};
  // Requests of each stream or caller in one round.
  int requests = 4;
  // Rounds per level; direct and routed runs alternate, so that a change of the
  // machine's load affects both.
  int rounds = 2;
  int tokens = 50;
  // Router process whose resident memory is read; 0 for none.
  int router_pid = 0;
  bool json = false;
};

}  // namespace bamboomount

#endif  // LOAD_LOAD_OPTIONS_H_
