#include "config/service_config.h"

#include <stdexcept>

#include "config/limit_table.h"

namespace bamboomount {
namespace {

template <typename Rule, typename Predicate>
const Rule* FindRule(const std::vector<Rule>& rules, Predicate matches) {
  for (const Rule& rule : rules) {
    if (matches(rule))
      return &rule;
  }
  return nullptr;
}

}  // namespace

const PoolRule* ServiceConfig::FindPool(const PoolId& pool) const {
  return FindRule(pools, [&](const auto& rule) { return rule.pool == pool; });
}

const PoolRule* ServiceConfig::FindModel(const std::string& model) const {
  return FindRule(pools, [&](const auto& rule) {
    return rule.kind == PoolKind::kModel && rule.model == model;
  });
}

const BackendRule* ServiceConfig::FindBackend(const BackendId& backend) const {
  return FindRule(backends,
                  [&](const auto& rule) { return rule.backend == backend; });
}

const ClassRule* ServiceConfig::FindClass(const ClassId& class_id) const {
  return FindRule(classes,
                  [&](const auto& rule) { return rule.class_id == class_id; });
}

const RouteRule* ServiceConfig::FindRoute(const std::string& path) const {
  return FindRule(routes, [&](const auto& rule) { return rule.path == path; });
}

const CustomerRule* ServiceConfig::FindCustomer(
    const CustomerId& customer) const {
  return FindRule(customers,
                  [&](const auto& rule) { return rule.customer == customer; });
}

std::vector<BackendRule> ServiceConfig::BackendsOf(const PoolId& pool) const {
  std::vector<BackendRule> found;
  for (const BackendRule& rule : backends) {
    if (rule.pool != pool)
      continue;
    found.push_back(rule);
  }
  return found;
}

double ServiceConfig::Limit(const std::string& name) const {
  const LimitSpec* spec = FindLimitSpec(name);
  if (spec == nullptr)
    throw std::out_of_range("unknown limit: " + name);
  return Limit(name, spec->default_value);
}

double ServiceConfig::Limit(const std::string& name, double fallback) const {
  const LimitRule* rule =
      FindRule(limits, [&](const auto& limit) { return limit.name == name; });
  return rule == nullptr ? fallback : rule->value;
}

}  // namespace bamboomount
