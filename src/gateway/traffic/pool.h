#ifndef GATEWAY_TRAFFIC_POOL_H_
#define GATEWAY_TRAFFIC_POOL_H_

#include <map>
#include <optional>
#include <string>

#include "base/base.h"

namespace bamboomount {

// What the configuration says of the model engines of a pool.
struct EngineTraits {
  int slots = 1;
  Tokens kv_capacity;
  // Tokens in one event of a stream.
  int tokens_per_event = 1;
  // Size of the cached state of one token, and how fast engines copy it from
  // each other; 0 if they do not.
  double cache_bytes_per_token = 0;
  double link_mbits_per_s = 0;

  // Whether an engine gets shared parts much sooner by copying them from
  // another engine than by reading them.
  bool CopiesPrefixes() const;
};

// How many backend servers of a pool may be ordered, and at which price.
// Limits hold for each availability zone.
struct ScalingRule {
  int minimum = 0;
  int maximum = 0;
  Millis boot_time{0};
  // Price of a reclaimable backend server as a part of the price of a firm
  // one; none if there are no reclaimable ones.
  std::optional<double> reclaimable_price;
  // Price of a second of a firm backend server.
  std::map<ZoneId, double> zone_prices;
};

// Backend servers that serve the same requests.
struct Pool {
  PoolId id;
  // Connections that one backend server accepts from all instances together.
  int max_connections = 64;
  std::optional<EngineTraits> engine;
  std::optional<ScalingRule> scaling;
};

}  // namespace bamboomount

#endif  // GATEWAY_TRAFFIC_POOL_H_
