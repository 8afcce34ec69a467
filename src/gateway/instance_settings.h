#ifndef GATEWAY_INSTANCE_SETTINGS_H_
#define GATEWAY_INSTANCE_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/base.h"
#include "gateway/placement/retry_budget_share.h"

namespace bamboomount {

// What one instance must know at its start. Addresses are "ip:port".
struct InstanceSettings {
  InstanceId instance;
  ZoneId zone;
  RegionId region;
  // Part of a core that the process may use.
  double capacity = 1;
  std::uint64_t memory_bytes = 0;

  // Where callers connect.
  std::string caller_address;
  // Where the platform asks whether the instance is ready.
  std::string readiness_address;
  // Where callers ask for addresses.
  std::string directory_address;
  // Where other instances send news of loads (UDP); empty if they do not.
  std::string peer_address;
  // Where counters and histograms are served; empty if they are not.
  std::string metrics_address;

  // The platform's table service.
  std::string store_address;
  // The platform's interface for orders and usage reports; empty if it has
  // none.
  std::string orders_address;
  bool reports_usage = false;
  bool orders_backends = false;

  // A configuration is in force everywhere within this time.
  Millis config_deadline{2000};
  // A leaving backend server gets no more requests after this time.
  Millis leaving_deadline{2000};
  // A withdrawn key stops working within this time; requests with keys are
  // refused on an instance that cannot know.
  Millis key_withdrawal_deadline{5000};
  bool refuse_keys_when_stale = true;
  // A planned stop ends by force after this time.
  Millis stop_deadline{8000};
  Millis lease_duration{3000};
  Millis usage_window{5000};
  Millis max_address_lifetime{5000};
  RetryLimits retry_limits;
};

// A settings file that cannot be used, with one message for each fault.
struct ParsedSettings {
  // Meaningful only if `errors` is empty.
  InstanceSettings settings;
  std::vector<std::string> errors;
};

// Reads settings in JSON with comments and reports every fault, unknown and
// missing names included.
ParsedSettings ParseInstanceSettings(const std::string& text);

// The names that ParseInstanceSettings knows.
std::vector<std::string> InstanceSettingNames();

}  // namespace bamboomount

#endif  // GATEWAY_INSTANCE_SETTINGS_H_
