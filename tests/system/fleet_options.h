#ifndef SYSTEM_FLEET_OPTIONS_H_
#define SYSTEM_FLEET_OPTIONS_H_

#include <filesystem>

#include "support/fleet.h"

namespace bamboomount::support {

// Options of a fleet from the programs of this build.
inline FleetOptions TestFleetOptions(int engines, int services, int instances) {
  FleetOptions options;
  options.programs =
      std::filesystem::path(ProgramPath("bamboomountd")).parent_path().string();
  options.engines = engines;
  options.services = services;
  options.instances = instances;
  return options;
}

}  // namespace bamboomount::support

#endif  // SYSTEM_FLEET_OPTIONS_H_
