#ifndef STANDINS_PLATFORM_FAULT_SWITCHES_H_
#define STANDINS_PLATFORM_FAULT_SWITCHES_H_

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace bamboomount::standin {

// How the platform fails all calls that the switches apply to.
enum class Outage {
  kNone,
  // Responds with status 503; the call has no effect.
  kUnavailable,
  // Closes the connection without a response; the call has no effect.
  kClosed,
};

// The faults to apply to one call.
struct CallFaults {
  Outage outage = Outage::kNone;
  // The call takes effect, and its connection is closed without a response.
  bool response_lost = false;
};

// The fault switches set by `POST /faults`. Thread-safe.
class FaultSwitches {
 public:
  // Sets the switches that `json` names and leaves the others unchanged:
  // "path_prefix" (faults apply to paths that start with it; "" for all),
  // "delay_ms", "outage" ("none", "unavailable" or "closed"), "lost_answers"
  // (number of further mutating calls whose response is lost), "freeze" (calls
  // wait until it is false again, then take effect). Throws
  // nlohmann::json::exception or std::invalid_argument and changes nothing if a
  // switch is malformed.
  void Apply(const nlohmann::json& json);

  // Blocks while the call is frozen and for its delay, then returns the faults
  // to apply to it. Only a `mutating` call counts against "lost_answers".
  CallFaults WaitAndTakeFaults(const std::string& path, bool mutating);

 private:
  struct Switches {
    std::string path_prefix;
    std::chrono::milliseconds delay{0};
    Outage outage = Outage::kNone;
    int lost_answers = 0;
    bool freeze = false;
  };

  std::mutex mutex_;
  std::condition_variable switches_changed_;
  Switches switches_;
};

}  // namespace bamboomount::standin

#endif  // STANDINS_PLATFORM_FAULT_SWITCHES_H_
