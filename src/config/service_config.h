#ifndef CONFIG_SERVICE_CONFIG_H_
#define CONFIG_SERVICE_CONFIG_H_

#include <string>
#include <vector>

#include "base/base.h"
#include "provider/provider.h"

namespace bamboomount {

// An availability zone and its region.
struct ZoneRule {
  ZoneId zone;
  RegionId region;
};

enum class PoolKind { kModel, kService };

// A group of backend servers of one model or one plain service.
struct PoolRule {
  PoolId pool;
  PoolKind kind = PoolKind::kModel;
  // Value of "model" in requests; empty for a plain service.
  std::string model;
  RegionId region;
  // Maximum number of backend servers in a cell.
  int cell_size = 32;
};

// A backend server.
struct BackendRule {
  BackendId backend;
  // "ip:port".
  std::string address;
  ZoneId zone;
  PoolId pool;
  BackendKind kind = BackendKind::kFirm;
  double cost_per_hour = 0;
  // Number of requests that it runs concurrently.
  int slots = 1;
  // Whether it rejects engine orders with an old fencing token.
  bool checks_fencing = false;
};

// A service class.
struct ClassRule {
  ClassId class_id;
  Tier tier;
  Millis first_token_target{0};
  Millis inter_token_target{0};
  // Number of queued requests in one cell above which load is shed.
  int queue_limit = 0;
};

// How requests with one path are handled.
struct RouteRule {
  // Request path, for example "/v1/registrations". Requests to
  // "/v1/chat/completions" go to the pool of the model in the body.
  std::string path;
  // May be empty for chat completions, where the customer's classes determine
  // the class.
  ClassId class_id;
  // May be empty for chat completions.
  PoolId pool;
  // Whether requests are served without a key.
  bool open = false;
  // Whether requests are safe to retry; if false, they need an Idempotency-Key.
  bool repeatable = true;
};

// A customer and its share of the capacity.
struct CustomerRule {
  CustomerId customer;
  // Weight among the customers of a class.
  double share = 1;
  // Classes allowed in the header X-Service-Class; the first is the default for
  // chat completions.
  std::vector<ClassId> classes;
};

// Path of requests whose pool is selected by the model in the body.
inline constexpr char kChatCompletionsPath[] = "/v1/chat/completions";

// The value of a limit, for example
// {"limit":"max_body_bytes","value":1048576}. LimitTable() lists the names and
// units.
struct LimitRule {
  std::string name;
  double value = 0;
};

// The rules of one service configuration. Not modified after reading, hence
// safe to share between threads. The lookups return nullptr for unknown names.
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
  // Returns the value of the limit `name`, or its default from LimitTable().
  // Throws std::out_of_range if the table has no such name.
  double Limit(const std::string& name) const;
  // Returns the value of the limit `name`, or `fallback` if it is not set.
  double Limit(const std::string& name, double fallback) const;
};

}  // namespace bamboomount

#endif  // CONFIG_SERVICE_CONFIG_H_
