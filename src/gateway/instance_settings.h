#ifndef GATEWAY_INSTANCE_SETTINGS_H_
#define GATEWAY_INSTANCE_SETTINGS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/base.h"
#include "gateway/placement/retry_budget_share.h"

namespace bamboomount {

// Settings that an instance reads at its start. Addresses are "ip:port".
struct InstanceSettings {
  InstanceId instance;
  ZoneId zone;
  RegionId region;
  // The region of each availability zone.
  std::map<ZoneId, RegionId> zone_regions;
  // CPU cores that the process may use; may be less than one.
  double capacity = 1;
  std::uint64_t memory_bytes = 0;
  // File descriptors that the process may use.
  std::size_t max_open_files = 4096;

  // Where callers connect.
  std::string caller_address;
  // Where the platform probes the readiness of the instance.
  std::string readiness_address;
  // Where callers query the addresses of instances.
  std::string directory_address;
  // Where other instances send gossip messages (UDP) and row requests (HTTP);
  // empty if they send none.
  std::string peer_address;
  // Where metrics are served; empty if they are not.
  std::string metrics_address;

  // The platform's table service.
  std::string store_address;
  // The platform's interface for orders and usage reports; empty if there is
  // none.
  std::string orders_address;
  bool reports_usage = false;
  bool orders_backends = false;

  // A new configuration takes effect on all instances within this time.
  Millis config_deadline{2000};
  // A backend server that is leaving gets no new requests after this time.
  Millis leaving_deadline{2000};
  // A withdrawn key stops working within this time. An instance that cannot
  // tell which keys are withdrawn refuses requests with keys if
  // refuse_keys_when_stale is set.
  Millis key_withdrawal_deadline{5000};
  bool refuse_keys_when_stale = true;
  // A graceful shutdown is forced to end after this time.
  Millis stop_deadline{8000};
  // How long a lease is valid without renewal.
  Millis lease_duration{3000};
  // Length of the windows in which usage is counted and reported.
  Millis usage_window{5000};
  // Upper limit of the time for which callers may cache addresses.
  Millis max_address_lifetime{5000};
  RetryLimits retry_limits;
  // Whether requests that exceed the capacity of a pool are refused on arrival,
  // by the demand on all instances.
  bool fleet_admission = false;

  // Empty if the zone is unknown.
  RegionId RegionOf(const ZoneId& zone_id) const;
};

// The result of parsing a settings file, with one message for each error.
struct ParsedSettings {
  // Valid only if `errors` is empty.
  InstanceSettings settings;
  std::vector<std::string> errors;
};

// Parses settings in JSON with comments. Reports every error, including unknown
// and missing settings.
ParsedSettings ParseInstanceSettings(const std::string& text);

// The names of all settings, as in the settings file.
std::vector<std::string> InstanceSettingNames();

}  // namespace bamboomount

#endif  // GATEWAY_INSTANCE_SETTINGS_H_
