#ifndef GATEWAY_DISCOVERY_PROTOCOL_H_
#define GATEWAY_DISCOVERY_PROTOCOL_H_

#include <optional>
#include <string>
#include <vector>

#include "base/base.h"

namespace bamboomount {

// A caller asks which addresses to use.
struct AddressQuery {
  ZoneId zone;
  RegionId region;
};

struct AddressList {
  std::vector<std::string> addresses;
  // How long callers may keep the answer.
  Millis lifetime{2000};
};

// The calls by which callers find an instance and the platform checks it.
class DiscoveryProtocol {
 public:
  virtual ~DiscoveryProtocol() = default;

  virtual bool IsReadinessProbe(const std::string& target) const = 0;
  // Empty if the target is another call.
  virtual std::optional<AddressQuery> DecodeAddressQuery(
      const std::string& target) const = 0;
  // The JSON body of an answer.
  virtual std::string EncodeAddresses(const AddressList& answer) const = 0;
};

}  // namespace bamboomount

#endif  // GATEWAY_DISCOVERY_PROTOCOL_H_
