#ifndef GATEWAY_DISCOVERY_PROTOCOL_H_
#define GATEWAY_DISCOVERY_PROTOCOL_H_

#include <optional>
#include <string>
#include <vector>

#include "base/base.h"

namespace bamboomount {

// A caller's request for the addresses of instances near it.
struct AddressQuery {
  // The host that the caller wants to reach.
  std::string host;
  ZoneId zone;
  RegionId region;
};

// The addresses that a caller may connect to, "ip:port".
struct AddressList {
  std::vector<std::string> addresses;
  // How long callers may cache the addresses.
  Millis lifetime{2000};
};

// Encodes the calls with which callers discover instances and the platform
// probes their readiness.
class DiscoveryProtocol {
 public:
  virtual ~DiscoveryProtocol() = default;

  virtual bool IsReadinessProbe(const std::string& target) const = 0;
  // Empty if `target` is not an address query.
  virtual std::optional<AddressQuery> DecodeAddressQuery(
      const std::string& target) const = 0;
  // The JSON body of the response to an address query.
  virtual std::string EncodeAddresses(
      const AddressList& address_list) const = 0;
};

}  // namespace bamboomount

#endif  // GATEWAY_DISCOVERY_PROTOCOL_H_
