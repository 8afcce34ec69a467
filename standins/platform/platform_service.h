#ifndef STANDINS_PLATFORM_PLATFORM_SERVICE_H_
#define STANDINS_PLATFORM_PLATFORM_SERVICE_H_

#include <cxxtools/http/service.h>

#include "platform_state.h"

namespace bamboomount::standin {

// Serves the endpoints over HTTP and applies the fault switches to all of them
// except /faults.
class PlatformService : public cxxtools::http::Service {
 public:
  // `state` must outlive the service.
  explicit PlatformService(PlatformState& state) : state_(state) {}

 protected:
  cxxtools::http::Responder* createResponder(
      const cxxtools::http::Request& request) override;
  void releaseResponder(cxxtools::http::Responder* responder) override;

 private:
  PlatformState& state_;
};

}  // namespace bamboomount::standin

#endif  // STANDINS_PLATFORM_PLATFORM_SERVICE_H_
