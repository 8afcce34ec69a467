#ifndef ROUTER_ROUTER_OPTIONS_H_
#define ROUTER_ROUTER_OPTIONS_H_

#include <functional>
#include <string>
#include <vector>

#include "base/base.h"
#include "peer/peer.h"
#include "provider/provider.h"
#include "state/state.h"
#include "telemetry/telemetry.h"

namespace bamboomount {

struct RouterOptions {
  InstanceId instance;
  ZoneId zone;
  // "ip:port"; port 0 takes a free port.
  std::string listen_address;
  // Both empty: no TLS. Paths of PEM files.
  std::string tls_certificate;
  std::string tls_key;
  // Sent to backend servers in place of the caller's key.
  std::string backend_credential;
  int threads = 2;
};

// How long callers may keep an address answer, and so how long a leaving
// router still accepts connections.
inline Millis AddressTimeToLive(const ServiceConfig& config) {
  return std::chrono::seconds(
      static_cast<std::int64_t>(config.Limit("address_ttl_s")));
}

// One entry of the answer to GET /v1/instances.
struct InstanceAddress {
  InstanceId instance;
  ZoneId zone;
  // "ip:port".
  std::string address;
};

// What the router needs from the rest of the process. The referenced objects
// must outlive the router. The functions are called from any thread.
struct RouterDependencies {
  ControlStateHolder& state;
  SlotBroker& slots;
  TableStore& table;
  Metrics& metrics;
  SpanStore& spans;
  // Whether keyed requests may be served; see the freshness rule.
  std::function<bool()> is_fresh;
  // Instances that callers may use, best first, leaving ones left out.
  std::function<std::vector<InstanceAddress>()> addresses;
  std::function<void(const CustomerId&, Tokens prompt, Tokens output)>
      record_usage;
};

}  // namespace bamboomount

#endif  // ROUTER_ROUTER_OPTIONS_H_
