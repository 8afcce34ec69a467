#ifndef CONFIG_SERVICE_CONFIG_H_
#define CONFIG_SERVICE_CONFIG_H_

#include <string>
#include <vector>

#include "base/base.h"
#include "provider/provider.h"

namespace bamboomount {

struct ZoneRule {
  ZoneId zone;
  RegionId region;
};

enum class PoolKind { kModel, kService };

// Backend servers of one model or one plain service.
struct PoolRule {
  PoolId pool;
  PoolKind kind = PoolKind::kModel;
  // Name that callers use in "model"; empty for a plain service.
  std::string model;
  RegionId region;
  int cell_size = 32;
};

struct BackendRule {
  BackendId backend;
  // "ip:port".
  std::string address;
  ZoneId zone;
  PoolId pool;
  BackendKind kind = BackendKind::kFirm;
  double cost_per_hour = 0;
  // Requests that it runs at the same time.
  int slots = 1;
  // Whether it refuses engine orders with an old fencing token.
  bool checks_fencing = false;
};

struct ClassRule {
  ClassId class_id;
  Tier tier;
  Millis first_token_target{0};
  Millis inter_token_target{0};
  // Requests waiting in one cell beyond which load is shed.
  int queue_limit = 0;
};

struct RouteRule {
  // Request path, for example "/v1/registrations"; "/v1/chat/completions"
  // for model pools, where the model in the body selects the pool.
  std::string path;
  // Empty for chat completions where the customer's classes decide.
  ClassId class_id;
  // Empty for chat completions.
  PoolId pool;
  // Served without a key.
  bool open = false;
  // Safe to repeat; false requires an Idempotency-Key.
  bool repeatable = true;
};

struct CustomerRule {
  CustomerId customer;
  // Weight inside a class.
  double share = 1;
  // Classes that the header X-Service-Class may name; the first is the
  // default for chat completions.
  std::vector<ClassId> classes;
};

// The path whose pool the model in the body selects.
inline constexpr char kChatCompletionsPath[] = "/v1/chat/completions";

// A named number, for example {"limit":"max_body_bytes","value":1048576}. The
// names are those of LimitTable().
struct LimitRule {
  std::string name;
  double value = 0;
};

// The rules of one service configuration. Immutable after reading; the lookups
// return nullptr for unknown names.
class ServiceConfig {
 public:
  std::vector<ZoneRule> zones;
  std::vector<PoolRule> pools;
  std::vector<BackendRule> backends;
  std::vector<ClassRule> classes;
  std::vector<RouteRule> routes;
  std::vector<CustomerRule> customers;
  std::vector<LimitRule> limits;

  const PoolRule* FindPool(const PoolId& pool) const;
  const PoolRule* FindModel(const std::string& model) const;
  const BackendRule* FindBackend(const BackendId& backend) const;
  const ClassRule* FindClass(const ClassId& class_id) const;
  const RouteRule* FindRoute(const std::string& path) const;
  const CustomerRule* FindCustomer(const CustomerId& customer) const;
  std::vector<BackendRule> BackendsOf(const PoolId& pool) const;
  // The value of the limit `name`, or its default from LimitTable(). Throws
  // std::out_of_range if the table has no such name.
  double Limit(const std::string& name) const;
  // The value of the limit `name`, or `fallback`.
  double Limit(const std::string& name, double fallback) const;
};

}  // namespace bamboomount

#endif  // CONFIG_SERVICE_CONFIG_H_
