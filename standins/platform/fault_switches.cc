#include "fault_switches.h"

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <thread>

namespace bamboomount::standin {
namespace {

Outage OutageFrom(const std::string& name) {
  if (name == "none")
    return Outage::kNone;
  if (name == "unavailable")
    return Outage::kUnavailable;
  if (name == "closed")
    return Outage::kClosed;
  throw std::invalid_argument("unknown outage: " + name);
}

}  // namespace

void FaultSwitches::Apply(const nlohmann::json& json) {
  {
    const std::lock_guard lock(mutex_);
    Switches next = switches_;
    next.path_prefix = json.value("path_prefix", next.path_prefix);
    next.delay = std::chrono::milliseconds(
        json.value("delay_ms", std::int64_t{next.delay.count()}));
    if (json.contains("outage"))
      next.outage = OutageFrom(json.at("outage").get<std::string>());
    next.lost_answers = json.value("lost_answers", next.lost_answers);
    next.freeze = json.value("freeze", next.freeze);
    switches_ = next;
  }
  switches_changed_.notify_all();
}

CallFaults FaultSwitches::WaitAndTakeFaults(const std::string& path,
                                            bool mutating) {
  std::unique_lock lock(mutex_);
  const auto applies = [&] { return path.starts_with(switches_.path_prefix); };
  switches_changed_.wait(lock, [&] { return !switches_.freeze || !applies(); });
  if (!applies())
    return {};
  const auto delay = switches_.delay;
  lock.unlock();
  std::this_thread::sleep_for(delay);
  lock.lock();
  CallFaults faults;
  faults.outage = switches_.outage;
  if (mutating && faults.outage == Outage::kNone &&
      switches_.lost_answers > 0) {
    --switches_.lost_answers;
    faults.response_lost = true;
  }
  return faults;
}

}  // namespace bamboomount::standin
