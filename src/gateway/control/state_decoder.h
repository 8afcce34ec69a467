#ifndef GATEWAY_CONTROL_STATE_DECODER_H_
#define GATEWAY_CONTROL_STATE_DECODER_H_

#include <memory>
#include <string>

#include "base/base.h"
#include "gateway/membership/backend_server.h"
#include "gateway/traffic/traffic_policy.h"

namespace bamboomount {

// Where the operator's and the backend servers' rows are, and how they read.
class StateDecoder {
 public:
  virtual ~StateDecoder() = default;

  virtual std::string config_table() const = 0;
  virtual std::string config_key() const = 0;
  virtual std::string backend_table() const = 0;

  // Fails with kInvalidConfig.
  virtual Result<std::shared_ptr<const TrafficPolicy>> DecodePolicy(
      const std::string& value) const = 0;
  // Fails with kInternal if the row names no server that can be used.
  virtual Result<BackendServer> DecodeBackend(
      const std::string& key,
      const std::string& value) const = 0;
};

}  // namespace bamboomount

#endif  // GATEWAY_CONTROL_STATE_DECODER_H_
