#ifndef STANDINS_PLATFORM_ENDPOINTS_H_
#define STANDINS_PLATFORM_ENDPOINTS_H_

#include <optional>
#include <string>

#include "platform_state.h"

namespace bamboomount::standin {

// A request to the platform.
struct Call {
  // "GET", "PUT" or "POST".
  std::string method;
  std::string path;
  // Value of the query parameter of the endpoint; empty if it is missing.
  std::string parameter;
  std::string body;
};

struct Response {
  // HTTP status code.
  int status = 200;
  std::string body;
  // Era of the table at the time of the call; only responses about the table
  // have one.
  std::optional<StoreEra> era = {};
};

// One method and path of the platform's HTTP interface.
struct Endpoint {
  std::string method;
  std::string path;
  // Name of the query parameter; empty if the path takes none.
  std::string parameter_name;
  // May throw; the caller then responds with status 400.
  Response (*handle)(PlatformState& state, const Call& call);
};

// Returns the endpoint for `method` and `path`, or nullptr if there is none.
// Thread-safe.
const Endpoint* FindEndpoint(const std::string& method,
                             const std::string& path);

}  // namespace bamboomount::standin

#endif  // STANDINS_PLATFORM_ENDPOINTS_H_
