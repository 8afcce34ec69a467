#ifndef APPS_BAMBOOMOUNTD_CONTROLLER_PROCESS_H_
#define APPS_BAMBOOMOUNTD_CONTROLLER_PROCESS_H_

#include "config/config.h"
#include "stop_signal.h"

namespace bamboomount {

// Runs the controller of one instance until a stop signal, then stops it, which
// releases the lease if this instance holds it.
void RunControllerProcess(const ProcessSettings& settings,
                          const StopSignal& stop);

}  // namespace bamboomount

#endif  // APPS_BAMBOOMOUNTD_CONTROLLER_PROCESS_H_
