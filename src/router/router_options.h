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

// Settings of a router.
struct RouterOptions {
  InstanceId instance;
  ZoneId zone;
  // Address as "ip:port"; port 0 binds a free port.
  std::string listen_address;
  // Paths of PEM files; both empty for connections without TLS.
  std::string tls_certificate;
  std::string tls_key;
  // Sent to backend servers in place of the caller's key.
  std::string backend_credential;
  // Number of event loops for callers, each on its own thread; at least 1.
  int threads = 2;
};

// How long callers may cache the reply to GET /v1/instances, and therefore how
// long a router still accepts connections during a graceful shutdown. Setting
// address_ttl_s.
inline Millis AddressTimeToLive(const ServiceConfig& config) {
  return std::chrono::seconds(
      static_cast<std::int64_t>(config.Limit("address_ttl_s")));
}

// One entry of the reply to GET /v1/instances.
struct InstanceAddress {
  InstanceId instance;
  ZoneId zone;
  // Address as "ip:port".
  std::string address;
};

// Services of the process that the router uses. The referenced objects must
// outlive the router. The functions are called from any thread.
struct RouterDependencies {
  ControlStateHolder& state;
  SlotBroker& slots;
  TableStore& table;
  Metrics& metrics;
  SpanStore& spans;
  // Whether the control state is fresh enough to authenticate keys. While it is
  // not, keyed requests are refused and running ones are cancelled with
  // kStaleState.
  std::function<bool()> is_fresh;
  // Instances that callers may use, in order of preference; instances that are
  // shutting down are left out.
  std::function<std::vector<InstanceAddress>()> addresses;
  // Records the usage of one call of a customer. A call of a plain service has
  // 0 tokens.
  std::function<void(const CustomerId&, Tokens prompt, Tokens output)>
      record_usage;
};

}  // namespace bamboomount

#endif  // ROUTER_ROUTER_OPTIONS_H_
