#ifndef GATEWAY_CONTROL_STATE_DECODER_H_
#define GATEWAY_CONTROL_STATE_DECODER_H_

#include <memory>
#include <optional>
#include <string>

#include "base/base.h"
#include "gateway/membership/backend_server.h"
#include "gateway/traffic/traffic_policy.h"

namespace bamboomount {

// Names of the tables of the operator and the backend servers, and the decoding
// of their rows.
class StateDecoder {
 public:
  virtual ~StateDecoder() = default;

  virtual std::string config_table() const = 0;
  virtual std::string config_key() const = 0;
  virtual std::string backend_table() const = 0;

  // The availability zone that a row of the operator's table with this key
  // takes out of use; empty if the row is something else.
  virtual std::optional<ZoneId> EvacuatedZone(const std::string& key) const = 0;

  // Fails with kInvalidConfig.
  virtual Result<std::shared_ptr<const TrafficPolicy>> DecodePolicy(
      const std::string& value) const = 0;
  // Fails with kInternal if the row does not describe a usable server.
  virtual Result<BackendServer> DecodeBackend(
      const std::string& key,
      const std::string& value) const = 0;
};

}  // namespace bamboomount

#endif  // GATEWAY_CONTROL_STATE_DECODER_H_
