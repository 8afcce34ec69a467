#ifndef APPS_BAMBOOMOUNTD_ROUTER_PROCESS_H_
#define APPS_BAMBOOMOUNTD_ROUTER_PROCESS_H_

#include <memory>

#include "config/config.h"
#include "stop_signal.h"

namespace bamboomount {

// The router of one instance: constructs its components, serves until a stop
// signal and then drains.
class RouterProcess {
 public:
  explicit RouterProcess(const ProcessSettings& settings);
  ~RouterProcess();
  RouterProcess(const RouterProcess&) = delete;
  RouterProcess& operator=(const RouterProcess&) = delete;

  // Blocks until a stop signal arrives and the drain has ended.
  void Run(const StopSignal& stop);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bamboomount

#endif  // APPS_BAMBOOMOUNTD_ROUTER_PROCESS_H_
