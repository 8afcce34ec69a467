#ifndef GATEWAY_TRAFFIC_POOL_H_
#define GATEWAY_TRAFFIC_POOL_H_

#include <map>
#include <optional>
#include <string>

#include "base/base.h"

namespace bamboomount {

// Properties of the model engines of a pool, from the configuration.
struct EngineTraits {
  int slots = 1;
  Tokens kv_capacity;
  // Number of tokens in one event of a stream.
  int tokens_per_event = 1;
  // Size of the KV cache of one token, and the bandwidth at which engines copy
  // it from each other. 0 if engines do not copy it.
  double cache_bytes_per_token = 0;
  double link_mbits_per_s = 0;

  // Whether an engine obtains a shared prefix much sooner by copying its KV
  // cache from another engine than by processing the tokens itself.
  bool CopiesPrefixes() const;
};

// Limits on the number of ordered backend servers of a pool, and their prices.
// The numbers of servers apply to each availability zone.
struct ScalingRule {
  int minimum = 0;
  int maximum = 0;
  Millis boot_time{0};
  // Price of a reclaimable backend server as a fraction of the price of a firm
  // one; empty if the pool has no reclaimable servers.
  std::optional<double> reclaimable_price;
  // Price of one firm backend server for one second, by availability zone.
  std::map<ZoneId, double> zone_prices;
};

// A group of interchangeable backend servers.
struct Pool {
  PoolId id;
  // Number of connections that one backend server accepts from all instances
  // together.
  int max_connections = 64;
  // How long a server is cold after its start.
  Millis cold_start{0};
  // Requests per second that a cold server tolerates from all instances
  // together; 0 if cold servers need no limit.
  double cold_requests_per_s = 0;
  std::optional<EngineTraits> engine;
  std::optional<ScalingRule> scaling;

  // Whether requests to cold servers have to be limited.
  bool PacesColdServers() const { return cold_requests_per_s > 0; }
};

}  // namespace bamboomount

#endif  // GATEWAY_TRAFFIC_POOL_H_
