#ifndef STANDINS_PLATFORM_ENDPOINTS_H_
#define STANDINS_PLATFORM_ENDPOINTS_H_

#include <string>

#include "platform_state.h"

namespace bamboomount::standin {

struct Call {
  // "GET", "PUT" or "POST".
  std::string method;
  std::string path;
  // Value of the one query parameter that the path takes; empty if missing.
  std::string parameter;
  std::string body;
};

struct Response {
  int status = 200;
  std::string body;
};

// One path of the platform's interface.
struct Endpoint {
  std::string method;
  std::string path;
  // Name of the query parameter; empty if the path takes none.
  std::string parameter_name;
  Response (*handle)(PlatformState& state, const Call& call);
};

// The endpoint for method and path, or nullptr.
const Endpoint* FindEndpoint(const std::string& method,
                             const std::string& path);

}  // namespace bamboomount::standin

#endif  // STANDINS_PLATFORM_ENDPOINTS_H_
