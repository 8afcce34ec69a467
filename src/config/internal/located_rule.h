#ifndef CONFIG_INTERNAL_LOCATED_RULE_H_
#define CONFIG_INTERNAL_LOCATED_RULE_H_

#include <string>
#include <string_view>
#include <vector>

#include "config/internal/rule_outline.h"
#include "config/service_config.h"

namespace bamboomount::internal {

// A rule together with the line it was read from, for checks that concern
// several rules.
template <typename Rule>
struct LocatedRule {
  Rule rule;
  const RuleLine* line = nullptr;

  ConfigError ErrorAt(std::string_view field, std::string message) const {
    std::size_t offset = 0;
    for (const ScannedField& scanned : line->scan.fields) {
      if (scanned.name == field)
        offset = scanned.value_offset;
    }
    return line->positions().ErrorAt(offset, std::move(message));
  }
};

template <typename Rule>
using LocatedRules = std::vector<LocatedRule<Rule>>;

struct LocatedConfig {
  LocatedRules<ZoneRule> zones;
  LocatedRules<PoolRule> pools;
  LocatedRules<BackendRule> backends;
  LocatedRules<ClassRule> classes;
  LocatedRules<RouteRule> routes;
  LocatedRules<CustomerRule> customers;
  LocatedRules<LimitRule> limits;
};

// Faults between rules: duplicates, unknown references, contradictions.
void CheckReferences(const LocatedConfig& config,
                     std::vector<ConfigError>& errors);

}  // namespace bamboomount::internal

#endif  // CONFIG_INTERNAL_LOCATED_RULE_H_
