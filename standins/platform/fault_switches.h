#ifndef STANDINS_PLATFORM_FAULT_SWITCHES_H_
#define STANDINS_PLATFORM_FAULT_SWITCHES_H_

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace bamboomount::standin {

enum class Outage {
  kNone,
  // Answers 503; the call has no effect.
  kUnavailable,
  // Closes the connection without an response; the call has no effect.
  kClosed,
};

// How one call is to be treated.
struct CallFaults {
  Outage outage = Outage::kNone;
  // The call takes effect, and its connection is closed without an response.
  bool response_lost = false;
};

// The faults that `POST /faults` sets. Thread-safe.
class FaultSwitches {
 public:
  // Changes the switches that `json` names and leaves the others as they are:
  // "path_prefix" (faults apply to paths that start with it; "" for all),
  // "delay_ms", "outage" ("none", "unavailable" or "closed"), "lost_answers"
  // (number of mutating calls to come), "freeze" (calls wait until it is
  // false again, then take effect). Throws nlohmann::json::exception or
  // std::invalid_argument and changes nothing if a switch is malformed.
  void Apply(const nlohmann::json& json);

  // Waits out freeze and delay, then says how to treat the call. Only a
  // `mutating` call uses up a lost response.
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
