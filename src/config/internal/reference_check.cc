#include <map>

#include "config/internal/field_values.h"
#include "config/internal/located_rule.h"
#include "config/limit_table.h"

namespace bamboomount::internal {
namespace {

using Errors = std::vector<ConfigError>;

// Rules by the value of one field; reports a second rule with the same value.
// Empty values stand for a field that is absent or faulty.
template <typename Rule, typename Name>
std::map<Name, const Rule*> IndexRules(const LocatedRules<Rule>& rules,
                                       Name Rule::*member,
                                       std::string_view field,
                                       Errors& errors) {
  std::map<Name, const Rule*> index;
  std::map<Name, int> first_line;
  for (const LocatedRule<Rule>& located : rules) {
    const Name& name = located.rule.*member;
    if (name == Name())
      continue;
    if (index.emplace(name, &located.rule).second) {
      first_line[name] = located.line->line;
      continue;
    }
    errors.push_back(located.ErrorAt(
        field, std::string(field) + " is given before, on line " +
                   std::to_string(first_line[name])));
  }
  return index;
}

template <typename Rule, typename Target, typename Name>
const Target* Resolve(const LocatedRule<Rule>& located,
                      std::string_view field,
                      const Name& name,
                      const std::map<Name, const Target*>& index,
                      Errors& errors) {
  if (name.empty())
    return nullptr;
  const auto found = index.find(name);
  if (found != index.end())
    return found->second;
  errors.push_back(located.ErrorAt(
      field, "unknown " + std::string(field) + " \"" + name.value() + "\""));
  return nullptr;
}

class ReferenceChecker {
 public:
  ReferenceChecker(const LocatedConfig& config, Errors& errors)
      : config_(config),
        errors_(errors),
        zones_(IndexRules(config.zones, &ZoneRule::zone, "zone", errors)),
        pools_(IndexRules(config.pools, &PoolRule::pool, "pool", errors)),
        classes_(
            IndexRules(config.classes, &ClassRule::class_id, "class", errors)) {
    IndexRules(config.pools, &PoolRule::model, "model", errors);
    IndexRules(config.backends, &BackendRule::backend, "backend", errors);
    IndexRules(config.backends, &BackendRule::address, "address", errors);
    IndexRules(config.routes, &RouteRule::path, "path", errors);
    IndexRules(config.customers, &CustomerRule::customer, "customer", errors);
    IndexRules(config.limits, &LimitRule::name, "limit", errors);
  }

  void Check() {
    for (const auto& pool : config_.pools)
      CheckPool(pool);
    for (const auto& backend : config_.backends)
      CheckBackend(backend);
    for (const auto& route : config_.routes)
      CheckRoute(route);
    for (const auto& customer : config_.customers)
      CheckCustomer(customer);
    for (const auto& limit : config_.limits)
      CheckLimit(limit);
  }

 private:
  void CheckPool(const LocatedRule<PoolRule>& located) {
    const PoolRule& pool = located.rule;
    const bool is_model = pool.kind == PoolKind::kModel;
    if (is_model && pool.model.empty())
      errors_.push_back(
          located.ErrorAt("kind", "a pool of kind model needs \"model\""));
    if (!is_model && !pool.model.empty())
      errors_.push_back(
          located.ErrorAt("model", "a pool of kind service has no \"model\""));
    if (pool.region.empty())
      return;
    for (const auto& [zone, rule] : zones_) {
      if (rule->region == pool.region)
        return;
    }
    errors_.push_back(located.ErrorAt(
        "region", "no zone lies in region \"" + pool.region.value() + "\""));
  }

  void CheckBackend(const LocatedRule<BackendRule>& located) {
    const BackendRule& backend = located.rule;
    const ZoneRule* zone =
        Resolve(located, "zone", backend.zone, zones_, errors_);
    const PoolRule* pool =
        Resolve(located, "pool", backend.pool, pools_, errors_);
    if (zone != nullptr && pool != nullptr && zone->region != pool->region)
      errors_.push_back(
          located.ErrorAt("zone", "zone and pool lie in different regions"));
  }

  void CheckRoute(const LocatedRule<RouteRule>& located) {
    const RouteRule& route = located.rule;
    Resolve(located, "class", route.class_id, classes_, errors_);
    const PoolRule* pool =
        Resolve(located, "pool", route.pool, pools_, errors_);
    // Claims are kept by customer; without one, two callers that choose the
    // same Idempotency-Key would get each other's answer.
    if (route.open && !route.repeatable)
      errors_.push_back(located.ErrorAt(
          "open", "a route that must not repeat cannot be open"));
    if (route.path == kChatCompletionsPath)
      return;
    if (route.class_id.empty())
      errors_.push_back(located.ErrorAt("path", "the route needs \"class\""));
    if (route.pool.empty())
      errors_.push_back(located.ErrorAt("path", "the route needs \"pool\""));
    if (pool != nullptr && pool->kind == PoolKind::kModel)
      errors_.push_back(
          located.ErrorAt("pool", std::string("only ") + kChatCompletionsPath +
                                      " leads to pools of kind model"));
  }

  void CheckCustomer(const LocatedRule<CustomerRule>& located) {
    for (const ClassId& class_id : located.rule.classes) {
      if (classes_.contains(class_id))
        continue;
      errors_.push_back(located.ErrorAt(
          "classes", "unknown class \"" + class_id.value() + "\""));
    }
  }

  void CheckLimit(const LocatedRule<LimitRule>& located) {
    const LimitRule& limit = located.rule;
    if (limit.name.empty())
      return;
    const LimitSpec* spec = FindLimitSpec(limit.name);
    if (spec == nullptr) {
      errors_.push_back(
          located.ErrorAt("limit", "unknown limit \"" + limit.name + "\""));
      return;
    }
    if (limit.value < spec->minimum || limit.value > spec->maximum)
      errors_.push_back(
          located.ErrorAt("value", limit.name + " must lie from " +
                                       FormatNumber(spec->minimum) + " to " +
                                       FormatNumber(spec->maximum) + " " +
                                       std::string(spec->unit)));
  }

  const LocatedConfig& config_;
  Errors& errors_;
  std::map<ZoneId, const ZoneRule*> zones_;
  std::map<PoolId, const PoolRule*> pools_;
  std::map<ClassId, const ClassRule*> classes_;
};

}  // namespace

void CheckReferences(const LocatedConfig& config, Errors& errors) {
  ReferenceChecker(config, errors).Check();
}

}  // namespace bamboomount::internal
