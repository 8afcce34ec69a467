#include "config/service_config_reader.h"

#include <algorithm>
#include <functional>
#include <string_view>
#include <utility>

#include "config/internal/located_rule.h"
#include "config/internal/rule_outline.h"
#include "config/internal/service_rules.h"

namespace bamboomount {
namespace {

using internal::FieldTable;
using internal::LocatedConfig;
using internal::LocatedRules;
using internal::RuleLine;

using Errors = std::vector<ConfigError>;

// How the rules of one array are read.
struct Section {
  std::string_view name;
  std::function<void(const RuleLine&, LocatedConfig&, Errors&)> read;
};

template <typename Rule>
Section MakeSection(std::string_view name,
                    const FieldTable<Rule>& fields,
                    LocatedRules<Rule> LocatedConfig::*rules) {
  return {name, [&fields, rules](const RuleLine& line, LocatedConfig& config,
                                 Errors& errors) {
            (config.*rules)
                .push_back({internal::ReadFields(fields, line.scan,
                                                 line.positions(), errors),
                            &line});
          }};
}

const std::vector<Section>& Sections() {
  static const std::vector<Section> sections = {
      MakeSection("zones", internal::ZoneFields(), &LocatedConfig::zones),
      MakeSection("pools", internal::PoolFields(), &LocatedConfig::pools),
      MakeSection("backends", internal::BackendFields(),
                  &LocatedConfig::backends),
      MakeSection("classes", internal::ClassFields(), &LocatedConfig::classes),
      MakeSection("routes", internal::RouteFields(), &LocatedConfig::routes),
      MakeSection("customers", internal::CustomerFields(),
                  &LocatedConfig::customers),
      MakeSection("limits", internal::LimitFields(), &LocatedConfig::limits),
  };
  return sections;
}

std::vector<std::string_view> SectionNames() {
  std::vector<std::string_view> names;
  for (const Section& section : Sections())
    names.push_back(section.name);
  return names;
}

template <typename Rule>
std::vector<Rule> StripLocations(LocatedRules<Rule>& located) {
  std::vector<Rule> rules;
  rules.reserve(located.size());
  for (auto& rule : located)
    rules.push_back(std::move(rule.rule));
  return rules;
}

void ReadRule(const RuleLine& line, LocatedConfig& config, Errors& errors) {
  if (line.scan.fault)
    return;
  for (const Section& section : Sections()) {
    if (section.name == line.section)
      section.read(line, config, errors);
  }
}

}  // namespace

ServiceConfigReadResult ReadServiceConfig(const std::string& text) {
  internal::RuleOutline outline =
      internal::ReadRuleOutline(text, SectionNames());
  ServiceConfigReadResult reading;
  reading.errors = std::move(outline.errors);
  LocatedConfig located;
  for (const RuleLine& line : outline.rules)
    ReadRule(line, located, reading.errors);
  CheckReferences(located, reading.errors);
  std::stable_sort(reading.errors.begin(), reading.errors.end(),
                   [](const ConfigError& a, const ConfigError& b) {
                     return std::pair(a.line, a.column) <
                            std::pair(b.line, b.column);
                   });
  reading.config.zones = StripLocations(located.zones);
  reading.config.pools = StripLocations(located.pools);
  reading.config.backends = StripLocations(located.backends);
  reading.config.classes = StripLocations(located.classes);
  reading.config.routes = StripLocations(located.routes);
  reading.config.customers = StripLocations(located.customers);
  reading.config.limits = StripLocations(located.limits);
  return reading;
}

}  // namespace bamboomount
